#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

/* A cluster of daemons and stand-ins, run as processes on loopback. */

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
	long status = 0;     /* 0: no complete response */
	std::string outcome; /* header X-Outcome */
	std::string body;

	Json json() const;
	/* Fields of a JSON body; empty or 0 if missing. */
	std::string text(const char *field) const;
	int64_t number(const char *field) const;
};

/* Sends a request and waits for the response. */
Response http(const std::string &method, const std::string &url,
    const std::string &body = "", const std::vector<std::string> &headers = {},
    long timeout_ms = 20000);

/*
 * A caller that keeps its connection and sends each request at most once: no
 * status means that it may have been executed.
 */
class KeptClient
{
      public:
	KeptClient();
	~KeptClient();
	KeptClient(const KeptClient &) = delete;
	KeptClient &operator=(const KeptClient &) = delete;

	Response request(const std::string &method, const std::string &url,
	    const std::string &body, const std::vector<std::string> &headers,
	    long timeout_ms);

      private:
	void *easy;
};

/*
 * A program of the build. Starting it waits for its first line of output,
 * which names the addresses that it has bound.
 */
class Process
{
      public:
	Process(const std::string &program,
	    const std::vector<std::string> &args, const std::string &log);
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	void signal(int number);
	/* Returns the exit code, or -1 if it does not exit in time. */
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
	std::string settings_path;
	std::unique_ptr<Process> process;
	bool leaving = false;
	/* Proxies in front of the platform's services; empty for none. */
	std::string store_proxy;
	std::string vm_list_proxy;
	std::string extra_settings;
	std::string advertise_peers;

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

/* Size of a cluster. */
struct Layout {
	std::vector<std::string> domains = {"d1"};
	int daemons_per_domain = 2;
	int workers_per_domain = 4;
	int endpoints_per_domain = 2;
	int64_t service_time_us = 5000;
};

class Cluster
{
      public:
	explicit Cluster(const Layout &layout);
	~Cluster();

	/* Starts and configures all; every shard has an owner then. */
	void start();
	/*
	 * Waits until the running daemons see each other as alive, writes
	 * the configuration, and waits until all have applied it.
	 */
	void await_members_and_configure();
	void start_daemon(Daemon &d);
	/* Writes the running daemons to the platform's VM list. */
	void publish_vms();
	Daemon &daemon(const std::string &vm);
	/* The daemon that reports itself as the owner, or nullptr. */
	Daemon *owner(const std::string &shard);
	Daemon &another_running(const Daemon &than);
	/* GET on the operators' address. */
	Response get(const Daemon &d, const std::string &path);
	/* A metric without its prefix; -1 if it is not reported. */
	int64_t metric(const Daemon &d, const std::string &name);

	Response submit(
	    const Daemon &d, const std::string &key, const std::string &fields);
	Response job(const Daemon &d, const std::string &id, int wait_ms = 0);
	/* Polls all running daemons until one reports the job's end. */
	Response await_job(const std::string &id, int64_t timeout_ms = 60000);
	Response request(const Daemon &d, const std::string &body,
	    const std::vector<std::string> &headers, long timeout_ms = 20000);
	Response put_config(const Daemon &d, const std::string &area,
	    const std::string &document, int64_t if_revision);

	/* Makes the stand-in of the store fail as the JSON describes. */
	void inject_fault(const std::string &spec);
	void
	clear_faults()
	{
		inject_fault("{\"kind\":\"none\"}");
	}
	Json worker_report();
	Json endpoint_report();
	/* How often endpoints have run the request with a key. */
	int execution_count(const std::string &key);
	void set_worker_behaviour(size_t i, const std::string &spec);
	void set_endpoint_behaviour(size_t i, const std::string &spec);

	/*
	 * Fails the test if a worker was overcommitted, ran a task twice at
	 * once, or repeated one that may run once, or if an endpoint ran a
	 * request twice.
	 */
	void expect_no_violation();

	std::vector<Daemon> daemons;
	/* Leaving VMs other than daemons: role by VM id. */
	std::map<std::string, std::string> leaving_vms;
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
	std::unique_ptr<Process> vm_list;
	std::unique_ptr<Process> workers;
	std::unique_ptr<Process> endpoints;

      public:
	std::string
	store_address() const
	{
		return store->addresses[0];
	}
	std::string
	vm_list_address() const
	{
		return vm_list->addresses[0];
	}
	/*
	 * Publishes the daemons to another VM list; @proxies has addresses by
	 * VM id that replace the daemons' own.
	 */
	void publish_vms_to(const std::string &list,
	    const std::map<std::string, std::string> &proxies);
	std::string
	log_path() const
	{
		return dir + "/standins.log";
	}
};

/* Polls until the condition holds; false if it does not in time. */
bool eventually(
    const std::function<bool()> &condition, int64_t timeout_ms = 30000);

#endif
