/* Membership, configuration, access and invalid input. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "cluster.h"

namespace
{

const char *const kBatch =
    R"("kind":"batch","count":2,"cpu":0.5,"memory":"1GB","run":"100ms","idempotent":true)";

int64_t
revision_of(Cluster &c, const Daemon &d, const std::string &area)
{
	return c.get(d, "/v1/config/" + area).number("revision");
}

TEST(MemberFaults, LeavingWorkerAndEndpointGetNoNewWork)
{
	Cluster c({});

	c.start();
	Daemon &d = c.daemons[0];
	Response service = c.submit(
	    d, "svc", R"("kind":"service","count":6,"cpu":1,"memory":"1GB")");

	ASSERT_TRUE(eventually([&] {
		return c.job(d, service.text("job")).number("running") == 6;
	}));
	c.leaving_vms["w1"] = "worker";
	c.leaving_vms["e0"] = "endpoint";
	c.publish_vms();
	ASSERT_TRUE(eventually([&] {
		return c.get(d, "/v1/workers").body.find("leaving") !=
		    std::string::npos;
	}));
	/* The tasks on the worker are moved, and it gets no new ones. */
	ASSERT_TRUE(eventually([&] {
		return c.get(d, "/v1/placements").body.find("\"w1\"") ==
		    std::string::npos &&
		    c.job(d, service.text("job")).number("running") == 6;
	}));
	auto endpoint_report = [&] {
		return http(
		    "GET", "http://" + c.endpoint_address[0] + "/_report")
		    .json();
	};
	auto executed_by_first = [](const Json &j) {
		json_t *list = json_object_get(j.get(), "endpoints");

		return json_integer_value(
		    json_object_get(json_array_get(list, 0), "executed"));
	};

	std::this_thread::sleep_for(std::chrono::seconds(1));
	int64_t before = executed_by_first(endpoint_report());

	for (int i = 0; i < 30; i++) {
		Response r = c.request(
		    c.daemons[(size_t)i % 2], "x", {"X-Idempotent: true"});

		EXPECT_EQ(r.body, "answer to x");
		Response j = c.submit(d, "j" + std::to_string(i), kBatch);

		EXPECT_EQ(j.status, 202);
	}
	EXPECT_EQ(executed_by_first(endpoint_report()), before);
	EXPECT_EQ(
	    c.get(d, "/v1/placements").body.find("\"w1\""), std::string::npos);
	c.expect_no_violation();
}

TEST(MemberFaults, PresetReachesEveryDaemonAndSurvivesARestart)
{
	Layout layout;

	layout.domains = {"d1", "d2", "d3"};
	Cluster c(layout);

	c.start();
	Daemon &d = c.daemons[0];
	int64_t revision = revision_of(c, d, "preset");
	Response put =
	    c.put_config(d, "preset", R"({"preset":"peaks"})", revision);

	ASSERT_EQ(put.status, 200) << put.body;
	revision = put.number("revision");
	for (Daemon &each : c.daemons) {
		EXPECT_TRUE(eventually([&] {
			return c.get(each, "/v1/status").text("preset") ==
			    "peaks";
		})) << each.vm;
	}
	/* Without the store, a restarted daemon gets it from its peers. */
	c.inject_fault(R"({"kind":"down"})");
	Daemon &restarted = c.daemons[3];

	restarted.process->signal(SIGKILL);
	c.start_daemon(restarted);
	c.publish_vms();
	EXPECT_TRUE(eventually([&] {
		return c.get(restarted, "/v1/status").text("preset") ==
		    "peaks" &&
		    revision_of(c, restarted, "preset") == revision;
	}));
	EXPECT_EQ(
	    revision_of(c, restarted, "shards"), revision_of(c, d, "shards"));
	c.clear_faults();
}

TEST(MemberFaults, ConcurrentChangesEndInOneConflict)
{
	Cluster c({});

	c.start();
	for (int round = 0; round < 5; round++) {
		int64_t revision = revision_of(c, c.daemons[0], "preset");
		Response r[2];
		std::thread other([&] {
			r[1] = c.put_config(c.daemons[1], "preset",
			    R"({"preset":"maintenance"})", revision);
		});

		r[0] = c.put_config(
		    c.daemons[0], "preset", R"({"preset":"peaks"})", revision);
		other.join();
		EXPECT_EQ(r[0].status + r[1].status, 609)
		    << r[0].body << r[1].body;
		const Response &loser = r[0].status == 409 ? r[0] : r[1];
		const Response &winner = r[0].status == 409 ? r[1] : r[0];

		EXPECT_NE(loser.text("reason").find("another operator"),
		    std::string::npos);
		EXPECT_EQ(loser.number("revision"), winner.number("revision"));
		for (Daemon &d : c.daemons)
			EXPECT_TRUE(eventually([&] {
				return revision_of(c, d, "preset") ==
				    winner.number("revision");
			}));
	}
}

TEST(MemberFaults, ChangeWithALostStoreResponseSucceeds)
{
	Cluster c({});

	c.start();
	int64_t revision = revision_of(c, c.daemons[0], "preset");

	c.inject_fault(
	    R"({"kind":"lost","method":"PUT","match":"config/","count":1})");
	Response r = c.put_config(
	    c.daemons[0], "preset", R"({"preset":"peaks"})", revision);

	EXPECT_EQ(r.status, 200) << r.body;
	EXPECT_GT(r.number("revision"), revision);
}

void
send_garbage(const std::string &address, const std::string &bytes)
{
	size_t colon = address.rfind(':');
	struct sockaddr_in sin = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)std::stoi(address.substr(colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &sin.sin_addr);
	ASSERT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ASSERT_GT(write(fd, bytes.data(), bytes.size()), 0);
	std::this_thread::sleep_for(std::chrono::milliseconds(50));
	close(fd);
}

TEST(MemberFaults, InvalidInputIsRejected)
{
	Cluster c({});

	c.start();
	Daemon &d = c.daemons[0];
	std::string jobs = "http://" + d.callers() + "/v1/jobs";
	Response accepted = c.submit(d, "kept", kBatch);

	send_garbage(d.peers(), "GET / HTTP/1.1\r\n\r\n");
	send_garbage(d.peers(), std::string("CT\1\0\xff\xff\xff\xff", 8));
	send_garbage(d.peers(), std::string("CT\1\0\0\0\0\4\1\2\3\4", 12));
	send_garbage(d.callers(), std::string(5000, '\0'));
	struct {
		const char *description;
		std::string body;
		long status;
		const char *reason;
	} cases[] = {
	    {"not JSON", "{\"team\":", 400, "line"},
	    {"deep", std::string(50000, '['), 400, "nested"},
	    {"wrong type", R"({"team":1})", 400, "team"},
	    {"unknown", R"({"team":"t","colour":1})", 400, ""},
	    {"oversize", std::string(3 << 20, ' '), 413, "too large"},
	    {"impossible",
		R"({"team":"t","name":"n","kind":"batch","cpu":500,"memory":"1GB","run":"1s"})",
		422, "cpu"},
	};

	for (const auto &one : cases) {
		Response r = http("POST", jobs, one.body);

		EXPECT_EQ(r.status, one.status) << one.description << r.body;
		EXPECT_NE(r.text("reason").find(one.reason), std::string::npos)
		    << one.description << ": " << r.body;
		EXPECT_EQ(r.text("outcome"), "not_run") << one.description;
	}
	EXPECT_EQ(http("PATCH", jobs, "{}").status, 405);
	EXPECT_EQ(c.request(d, "x", {"X-Deadline-Ms: soon"}).status, 400);
	EXPECT_EQ(c.request(d, "x", {"X-Class: royal"}).status, 400);
	EXPECT_EQ(
	    c.put_config(d, "preset", R"({"preset":"x"})", 1).status, 400);
	EXPECT_EQ(c.job(d, "nonsense").status, 404);
	EXPECT_EQ(c.job(d, "d1.0000").status, 404);
	/* The daemon keeps running, and the accepted job completes. */
	EXPECT_EQ(c.await_job(accepted.text("job")).text("state"), "done");
	c.expect_no_violation();
}

TEST(MemberFaults, DaemonWithAnotherPeerTokenIsNotAMember)
{
	Layout layout;

	layout.daemons_per_domain = 2;
	Cluster c(layout);

	c.start();
	/* Start it for its settings file, and change the token in that. */
	Daemon intruder;

	intruder.vm = "d1-entry-9";
	intruder.domain = "d1";
	c.start_daemon(intruder);
	std::string text = "s/test-peer-token/other-peer-token/";
	std::string command =
	    "sed -i '" + text + "' '" + intruder.settings_path + "'";

	ASSERT_EQ(system(command.c_str()), 0);
	intruder.process->signal(SIGKILL);
	intruder.process =
	    std::make_unique<Process>("curranttackd/curranttackd",
		std::vector<std::string>{"--config", intruder.settings_path},
		intruder.settings_path + ".log");
	c.daemons.push_back(std::move(intruder));
	c.publish_vms();
	std::this_thread::sleep_for(std::chrono::seconds(2));
	Response r = c.get(c.daemons[0], "/v1/members");
	Json j = r.json();
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(j.get(), "members"), i, row) {
		std::string vm = json_string_value(json_object_get(row, "vm"));
		std::string state =
		    json_string_value(json_object_get(row, "state"));

		EXPECT_EQ(state, vm == "d1-entry-9" ? "silent" : "alive");
	}
}

TEST(MemberFaults, CallerAndOperatorTokensAreSeparate)
{
	Cluster c({});

	for (Daemon &d : c.daemons)
		d.extra_settings = "caller_token = \"for-callers\"\n"
				   "operator_token = \"for-operators\"\n";
	c.start_daemon(c.daemons[0]);
	Daemon &d = c.daemons[0];
	std::string jobs = "http://" + d.callers() + "/v1/jobs";
	std::string status = "http://" + d.operators() + "/v1/status";
	std::string callers = "Authorization: Bearer for-callers";
	std::string operators = "Authorization: Bearer for-operators";

	EXPECT_EQ(http("GET", jobs).status, 401);
	EXPECT_EQ(http("GET", jobs, "", {operators}).status, 401);
	EXPECT_EQ(http("GET", jobs, "", {callers}).status, 200);
	EXPECT_EQ(http("GET", jobs, "", {callers + "x"}).status, 401);
	EXPECT_EQ(http("GET", status, "", {callers}).status, 401);
	EXPECT_EQ(http("GET", status, "", {operators}).status, 200);
	EXPECT_EQ(
	    http("GET", "http://" + d.callers() + "/v1/status", "", {callers})
		.status,
	    404)
	    << "operators' paths must not be given to callers";
	EXPECT_NE(http("GET", "http://" + d.callers() + "/ready").status, 401);
}

TEST(MemberFaults, ReloadKeepsTheSettingsIfTheNewOnesAreInvalid)
{
	Cluster c({});
	Daemon &d = c.daemons[0];
	std::string log;
	auto logged = [&](const char *what) {
		std::ifstream f(
		    d.settings_path.substr(0, d.settings_path.size() - 5) +
		    ".log");
		std::stringstream text;

		text << f.rdbuf();
		log = text.str();
		return log.find(what) != std::string::npos;
	};

	c.start_daemon(d);
	std::ofstream(d.settings_path, std::ios::app) << "[log.modules]\n";
	d.process->signal(SIGHUP);
	EXPECT_TRUE(eventually([&] { return logged("event=reloaded"); }));
	std::ofstream(d.settings_path, std::ios::app) << "peer = \"loud\"\n";
	d.process->signal(SIGHUP);
	EXPECT_TRUE(eventually([&] { return logged("event=reload_refused"); }));
	EXPECT_NE(log.find("log.modules"), std::string::npos) << log;
	EXPECT_EQ(c.get(d, "/v1/status").status, 200) << "old settings stay";
}

TEST(MemberFaults, OversizedHeadersAreRejected)
{
	Cluster c({});

	c.start_daemon(c.daemons[0]);
	Response r = http("GET", "http://" + c.daemons[0].callers() + "/ready",
	    "", {"X-Filler: " + std::string(100000, 'x')});

	EXPECT_NE(r.status, 200);
	EXPECT_NE(r.status, 503);
	EXPECT_EQ(c.get(c.daemons[0], "/v1/status").status, 200);
}

/* A TCP proxy that can stop relaying, so that both ends see silence. */
class PartitionableLink
{
      public:
	explicit PartitionableLink(Cluster &c)
	    : proxy("tests/standins/standin-relay", {}, c.log_path())
	{
	}
	void
	set_target(const std::string &target)
	{
		EXPECT_EQ(http("POST",
			      "http://" + proxy.addresses[1] +
				  "/_target?address=" + target)
			      .status,
		    200);
	}
	std::string
	address() const
	{
		return proxy.addresses[0];
	}
	void
	set_partitioned(bool on)
	{
		EXPECT_EQ(http("POST",
			      "http://" + proxy.addresses[1] +
				  "/_cut?on=" + (on ? "1" : "0"))
			      .status,
		    200);
	}

	/* Connections that are open; new ones work. */
	void
	silence()
	{
		for (const char *ways : {"3", "0"})
			EXPECT_EQ(http("POST",
				      "http://" + proxy.addresses[1] +
					  "/_silence?ways=" + ways)
				      .status,
			    200);
	}

      private:
	Process proxy;
};

/* The lease ended while its renewal waited for an answer. */
TEST(MemberFaults, LeaseInTheStoreOutlivesSilentConnections)
{
	Cluster c({});
	PartitionableLink store(c);

	store.set_target(c.store_address());
	c.daemons[0].store_proxy = store.address();
	c.start_daemon(c.daemons[0]);
	EXPECT_TRUE(eventually(
	    [&] { return c.get(c.daemons[0], "/v1/status").status == 200; }));
	for (int i = 0; i < 3; i++) {
		usleep(1500000);
		store.silence();
	}
	usleep(1500000);
	std::ifstream log(c.log_path().replace(c.log_path().rfind('/') + 1,
	    std::string::npos, c.daemons[0].vm + ".log"));
	std::string text((std::istreambuf_iterator<char>(log)),
	    std::istreambuf_iterator<char>());
	EXPECT_NE(text.find("event=unanswered"), std::string::npos);
	EXPECT_EQ(text.find("event=lease_lapsed"), std::string::npos);
}

TEST(MemberFaults, PartitionedDomainKeepsServing)
{
	Layout layout;

	layout.domains = {"d1", "d2"};
	layout.daemons_per_domain = 2;
	Cluster c(layout);
	PartitionableLink store(c);
	Process far_vm_list("tests/standins/standin-vmlist", {}, c.log_path());
	std::vector<std::unique_ptr<PartitionableLink>> links;
	std::map<std::string, std::string> proxies_for_d1;
	std::map<std::string, std::string> proxies_for_d2;

	store.set_target(c.store_address());
	for (Daemon &d : c.daemons) {
		links.push_back(std::make_unique<PartitionableLink>(c));
		d.advertise_peers = links.back()->address();
		if (d.domain == "d2") {
			d.store_proxy = store.address();
			d.vm_list_proxy = far_vm_list.addresses[0];
		}
		c.start_daemon(d);
		links.back()->set_target(d.peers());
		(d.domain == "d2" ? proxies_for_d1 : proxies_for_d2)[d.vm] =
		    d.advertise_peers;
	}
	auto publish = [&] {
		c.publish_vms_to(c.vm_list_address(), proxies_for_d1);
		c.publish_vms_to(far_vm_list.addresses[0], proxies_for_d2);
	};
	publish();
	c.await_members_and_configure();
	Daemon &near = c.daemons[0];
	Daemon &far = c.daemons[2];
	/* Jobs whose home shard is in the domain that will be partitioned. */
	std::vector<std::string> far_jobs;
	std::vector<std::string> near_jobs;

	for (int i = 0; far_jobs.size() < 3 && i < 60; i++) {
		Response r = c.submit(near, "svc" + std::to_string(i),
		    R"("kind":"service","count":2,"cpu":0.5,"memory":"1GB")");

		ASSERT_EQ(r.status, 202) << r.body;
		(r.text("job").rfind("d2.", 0) == 0 ? far_jobs : near_jobs)
		    .push_back(r.text("job"));
	}
	ASSERT_EQ(far_jobs.size(), 3U);
	for (const std::string &id : far_jobs)
		ASSERT_TRUE(eventually(
		    [&] { return c.job(far, id).number("running") == 2; }));
	for (const std::string &id : near_jobs)
		ASSERT_TRUE(eventually(
		    [&] { return c.job(near, id).number("running") == 2; }));
	Json before = c.worker_report();

	store.set_partitioned(true);
	for (auto &l : links)
		l->set_partitioned(true);
	http("POST", "http://" + far_vm_list.addresses[0] + "/_down?on=1");
	ASSERT_TRUE(eventually([&] {
		return c.get(near, "/v1/members").body.find("silent") !=
		    std::string::npos &&
		    c.get(far, "/v1/members").body.find("silent") !=
		    std::string::npos;
	}));
	std::this_thread::sleep_for(std::chrono::seconds(5));
	/* Inside, services keep running and requests are served. */
	for (const std::string &id : far_jobs)
		EXPECT_EQ(c.job(far, id).number("running"), 2);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(c.request(far, "x", {"X-Idempotent: true"}).body,
		    "answer to x");
	/* Outside, requests are served, and nobody takes over the far shard. */
	EXPECT_EQ(
	    c.request(near, "x", {"X-Idempotent: true"}).body, "answer to x");
	EXPECT_EQ(c.job(near, far_jobs[0]).outcome, "not_run");
	int64_t takeovers = 0;

	for (Daemon &d : c.daemons)
		takeovers += c.metric(d, "shard_takeovers_total");
	EXPECT_EQ(takeovers, 2);
	int64_t revision = revision_of(c, near, "preset");

	EXPECT_EQ(
	    c.put_config(near, "preset", R"({"preset":"peaks"})", revision)
		.status,
	    200);
	/* After the partition the change arrives, and no task was restarted. */
	store.set_partitioned(false);
	for (auto &l : links)
		l->set_partitioned(false);
	http("POST", "http://" + far_vm_list.addresses[0] + "/_down?on=0");
	EXPECT_TRUE(eventually([&] {
		return c.get(far, "/v1/status").text("preset") == "peaks";
	}));
	EXPECT_TRUE(eventually(
	    [&] { return c.job(near, far_jobs[0]).number("running") == 2; }));
	Json after = c.worker_report();

	EXPECT_EQ(json_integer_value(json_object_get(after.get(), "starts")),
	    json_integer_value(json_object_get(before.get(), "starts")))
	    << "no service was restarted";
	c.expect_no_violation();
}

TEST(MemberFaults, JobWithoutAKeyAvoidsAFullShard)
{
	Layout layout;

	layout.domains = {"d1", "d2"};
	layout.daemons_per_domain = 1;
	layout.workers_per_domain = 2;
	Cluster c(layout);
	int jobs_on_d1 = 0;

	c.start();
	Daemon &d = c.daemons[0];

	for (int i = 0; jobs_on_d1 < 2 && i < 60; i++) {
		Response r = c.submit(d, "fill" + std::to_string(i),
		    R"("kind":"service","cpu":8,"memory":"20GB")");
		std::string id = r.text("job");

		if (id.rfind("d1.", 0) == 0)
			jobs_on_d1++;
		else
			http("DELETE",
			    "http://" + d.callers() + "/v1/jobs/" + id);
	}
	ASSERT_EQ(jobs_on_d1, 2);
	/* Wait until heartbeats have reported the loads. */
	std::this_thread::sleep_for(std::chrono::seconds(3));
	for (int i = 0; i < 12; i++) {
		Response r = http("POST", "http://" + d.callers() + "/v1/jobs",
		    R"({"team":"t","name":"n",)" + std::string(kBatch) + "}");

		EXPECT_EQ(r.text("job").rfind("d2.", 0), 0U) << r.body;
	}
}

} // namespace
