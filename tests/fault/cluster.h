#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

/* Daemons and stand-ins as real processes on loopback. */

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

#include <jansson.h>

struct JsonDeleter {
	void
	operator()(json_t *j) const
	{
		json_decref(j);
	}
};
using Json = std::unique_ptr<json_t, JsonDeleter>;

struct Response {
	long status = 0; /* 0: no whole response */
	std::string outcome;
	std::string body;

	Json json() const;
	std::string text(const char *field) const;
	int64_t number(const char *field) const;
};

Response http(const std::string &method, const std::string &url,
    const std::string &body = "", const std::vector<std::string> &headers = {},
    long timeout_ms = 20000);

class Process
{
      public:
	Process(const std::string &program,
	    const std::vector<std::string> &args, const std::string &log);
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	void signal(int number);
	/* Exit code, or -1 when it does not end within the time. */
	int wait(int64_t timeout_ms);
	bool
	running() const
	{
		return pid > 0;
	}

	std::vector<std::string> addresses;
	pid_t pid = -1;
};

struct Daemon {
	std::string vm;
	std::string domain;
	std::string path;
	std::unique_ptr<Process> process;
	bool leaving = false;
	/* Its ways to the platform; empty for the direct ones. */
	std::string store_via;
	std::string vms_via;
	std::string more_settings;
	std::string advertise;

	std::string
	callers() const
	{
		return process->addresses[0];
	}
	std::string
	operators() const
	{
		return process->addresses[1];
	}
	std::string
	peers() const
	{
		return process->addresses[2];
	}
};

struct Layout {
	std::vector<std::string> domains = {"d1"};
	int daemons_per_domain = 2;
	int workers_per_domain = 4;
	int endpoints_per_domain = 2;
	int64_t service_us = 5000;
};

class Cluster
{
      public:
	explicit Cluster(const Layout &layout);
	~Cluster();

	/* Daemons know each other, and every shard has an owner. */
	void start();
	/* The same, once the daemons run and are listed. */
	void settle_and_configure();
	void start_daemon(Daemon &d);
	void publish_vms();
	Daemon &daemon(const std::string &vm);
	Daemon *owner(const std::string &shard);
	Daemon &any_other(const Daemon &than);
	Response ask(const Daemon &d, const std::string &path);
	int64_t metric(const Daemon &d, const std::string &name);

	Response submit(
	    const Daemon &d, const std::string &key, const std::string &fields);
	Response job(const Daemon &d, const std::string &id, int wait_ms = 0);
	/* Asks whoever answers until the job has ended. */
	Response await_job(const std::string &id, int64_t timeout_ms = 60000);
	Response request(const Daemon &d, const std::string &body,
	    const std::vector<std::string> &headers, long timeout_ms = 20000);
	Response put_config(const Daemon &d, const std::string &area,
	    const std::string &document, int64_t if_revision);

	void fault(const std::string &spec);
	void
	clear_faults()
	{
		fault("{\"kind\":\"none\"}");
	}
	Json worker_report();
	Json endpoint_report();
	int key_count(const std::string &key);
	void behave_worker(size_t i, const std::string &spec);
	void behave_endpoint(size_t i, const std::string &spec);

	/* Fails the test when a promise of the brief was broken. */
	void expect_no_violation();

	std::vector<Daemon> daemons;
	std::map<std::string, std::string> leaving;
	std::vector<std::string> worker_address;
	std::vector<std::string> worker_id;
	std::vector<std::string> worker_domain;
	std::vector<std::string> endpoint_address;

      private:
	std::string shards_document() const;
	std::string services_document() const;
	void configure();

	Layout layout;
	std::string dir;
	std::unique_ptr<Process> store;
	std::unique_ptr<Process> vms;
	std::unique_ptr<Process> workers;
	std::unique_ptr<Process> endpoints;

      public:
	std::string
	store_address() const
	{
		return store->addresses[0];
	}
	std::string
	vms_address() const
	{
		return vms->addresses[0];
	}
	/* Publishes to another list; @via replaces addresses by VM id. */
	void publish_to(const std::string &list,
	    const std::map<std::string, std::string> &via);
	std::string
	log_path() const
	{
		return dir + "/standins.log";
	}
};

/* Polls until the condition holds; false after the time. */
bool eventually(
    const std::function<bool()> &condition, int64_t timeout_ms = 30000);

#endif
