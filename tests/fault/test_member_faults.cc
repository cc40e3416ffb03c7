/* Leaving VMs, configuration, bad input. */
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

TEST(MemberFaults, LeavingWorkerAndEndpointGetNothingNew)
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
	/* Its services move, and nothing new comes. */
	ASSERT_TRUE(eventually([&] {
		return c.get(d, "/v1/placements").body.find("\"w1\"") ==
		    std::string::npos &&
		    c.job(d, service.text("job")).number("running") == 6;
	}));
	auto executed = [&] {
		return http(
		    "GET", "http://" + c.endpoint_address[0] + "/_report")
		    .json();
	};
	auto first_endpoint = [](const Json &j) {
		json_t *list = json_object_get(j.get(), "endpoints");

		return json_integer_value(
		    json_object_get(json_array_get(list, 0), "executed"));
	};

	std::this_thread::sleep_for(std::chrono::seconds(1));
	int64_t before = first_endpoint(executed());

	for (int i = 0; i < 30; i++) {
		Response r = c.request(
		    c.daemons[(size_t)i % 2], "x", {"X-Idempotent: true"});

		EXPECT_EQ(r.body, "answer to x");
		Response j = c.submit(d, "j" + std::to_string(i), kBatch);

		EXPECT_EQ(j.status, 202);
	}
	EXPECT_EQ(first_endpoint(executed()), before);
	EXPECT_EQ(
	    c.get(d, "/v1/placements").body.find("\"w1\""), std::string::npos);
	c.expect_no_violation();
}

TEST(MemberFaults, PresetIsInForceOnEveryDaemonAndNeverReverts)
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
	/* A restart with the store down: the peers know. */
	c.inject_fault(R"({"kind":"down"})");
	Daemon &victim = c.daemons[3];

	victim.process->signal(SIGKILL);
	c.start_daemon(victim);
	c.publish_vms();
	EXPECT_TRUE(eventually([&] {
		return c.get(victim, "/v1/status").text("preset") == "peaks" &&
		    revision_of(c, victim, "preset") == revision;
	}));
	EXPECT_EQ(
	    revision_of(c, victim, "shards"), revision_of(c, d, "shards"));
	c.clear_faults();
}

TEST(MemberFaults, RacingOperatorsGetAClearConflict)
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
		const Response &lost = r[0].status == 409 ? r[0] : r[1];
		const Response &won = r[0].status == 409 ? r[1] : r[0];

		EXPECT_NE(lost.text("reason").find("another operator"),
		    std::string::npos);
		EXPECT_EQ(lost.number("revision"), won.number("revision"));
		for (Daemon &d : c.daemons)
			EXPECT_TRUE(eventually([&] {
				return revision_of(c, d, "preset") ==
				    won.number("revision");
			}));
	}
}

TEST(MemberFaults, LostAnswerOfAChangeIsResolved)
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

TEST(MemberFaults, BadInputHarmsNobody)
{
	Cluster c({});

	c.start();
	Daemon &d = c.daemons[0];
	std::string jobs = "http://" + d.callers() + "/v1/jobs";
	Response kept = c.submit(d, "kept", kBatch);

	send_garbage(d.peers(), "GET / HTTP/1.1\r\n\r\n");
	send_garbage(d.peers(), std::string("CT\1\0\xff\xff\xff\xff", 8));
	send_garbage(d.peers(), std::string("CT\1\0\0\0\0\4\1\2\3\4", 12));
	send_garbage(d.callers(), std::string(5000, '\0'));
	struct {
		const char *what;
		std::string body;
		long status;
		const char *names;
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

		EXPECT_EQ(r.status, one.status) << one.what << r.body;
		EXPECT_NE(r.text("reason").find(one.names), std::string::npos)
		    << one.what << ": " << r.body;
		EXPECT_EQ(r.text("outcome"), "not_run") << one.what;
	}
	EXPECT_EQ(http("PATCH", jobs, "{}").status, 405);
	EXPECT_EQ(c.request(d, "x", {"X-Deadline-Ms: soon"}).status, 400);
	EXPECT_EQ(c.request(d, "x", {"X-Class: royal"}).status, 400);
	EXPECT_EQ(
	    c.put_config(d, "preset", R"({"preset":"x"})", 1).status, 400);
	EXPECT_EQ(c.job(d, "nonsense").status, 404);
	EXPECT_EQ(c.job(d, "d1.0000").status, 404);
	/* The daemon goes on, and nothing is lost. */
	EXPECT_EQ(c.await_job(kept.text("job")).text("state"), "done");
	c.expect_no_violation();
}

TEST(MemberFaults, StrangersAreNotPeers)
{
	Layout layout;

	layout.daemons_per_domain = 2;
	Cluster c(layout);

	c.start();
	/* A daemon with another token is not let in. */
	Daemon stranger;

	stranger.vm = "d1-entry-9";
	stranger.domain = "d1";
	c.start_daemon(stranger);
	std::string text = "s/test-peer-token/other-peer-token/";
	std::string command =
	    "sed -i '" + text + "' '" + stranger.settings_path + "'";

	ASSERT_EQ(system(command.c_str()), 0);
	stranger.process->signal(SIGKILL);
	stranger.process =
	    std::make_unique<Process>("curranttackd/curranttackd",
		std::vector<std::string>{"--config", stranger.settings_path},
		stranger.settings_path + ".log");
	c.daemons.push_back(std::move(stranger));
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

TEST(MemberFaults, TokensKeepTheSidesApart)
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
	    << "operators' paths are not on the callers' side";
	EXPECT_NE(http("GET", "http://" + d.callers() + "/ready").status, 401);
}

TEST(MemberFaults, SettingsAreReloadedAndBadOnesRefused)
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
	EXPECT_EQ(c.get(d, "/v1/status").status, 200) << "the old ones stay";
}

TEST(MemberFaults, HugeHeadersAreRefused)
{
	Cluster c({});

	c.start_daemon(c.daemons[0]);
	Response r = http("GET", "http://" + c.daemons[0].callers() + "/ready",
	    "", {"X-Filler: " + std::string(100000, 'x')});

	EXPECT_NE(r.status, 200);
	EXPECT_NE(r.status, 503);
	EXPECT_EQ(c.get(c.daemons[0], "/v1/status").status, 200);
}

/* A link whose two ends believe that the other is silent. */
class Link
{
      public:
	explicit Link(Cluster &c)
	    : process("tests/standins/standin-relay", {}, c.log_path())
	{
	}
	void
	lead_to(const std::string &target)
	{
		EXPECT_EQ(http("POST",
			      "http://" + process.addresses[1] +
				  "/_target?address=" + target)
			      .status,
		    200);
	}
	std::string
	address() const
	{
		return process.addresses[0];
	}
	void
	cut(bool on)
	{
		EXPECT_EQ(http("POST",
			      "http://" + process.addresses[1] +
				  "/_cut?on=" + (on ? "1" : "0"))
			      .status,
		    200);
	}

      private:
	Process process;
};

TEST(MemberFaults, CutOffDomainGoesOnServing)
{
	Layout layout;

	layout.domains = {"d1", "d2"};
	layout.daemons_per_domain = 2;
	Cluster c(layout);
	Link store(c);
	Process far_list("tests/standins/standin-vmlist", {}, c.log_path());
	std::vector<std::unique_ptr<Link>> links;
	std::map<std::string, std::string> seen_from_d1;
	std::map<std::string, std::string> seen_from_d2;

	store.lead_to(c.store_address());
	for (Daemon &d : c.daemons) {
		links.push_back(std::make_unique<Link>(c));
		d.advertise_peers = links.back()->address();
		if (d.domain == "d2") {
			d.store_proxy = store.address();
			d.vm_list_proxy = far_list.addresses[0];
		}
		c.start_daemon(d);
		links.back()->lead_to(d.peers());
		(d.domain == "d2" ? seen_from_d1 : seen_from_d2)[d.vm] =
		    d.advertise_peers;
	}
	auto publish = [&] {
		c.publish_vms_to(c.vm_list_address(), seen_from_d1);
		c.publish_vms_to(far_list.addresses[0], seen_from_d2);
	};
	publish();
	c.await_members_and_configure();
	Daemon &near = c.daemons[0];
	Daemon &far = c.daemons[2];
	/* Jobs whose home is the domain that will be cut off. */
	std::vector<std::string> far_jobs;

	for (int i = 0; far_jobs.size() < 3 && i < 60; i++) {
		Response r = c.submit(near, "svc" + std::to_string(i),
		    R"("kind":"service","count":2,"cpu":0.5,"memory":"1GB")");

		ASSERT_EQ(r.status, 202) << r.body;
		if (r.text("job").rfind("d2.", 0) == 0)
			far_jobs.push_back(r.text("job"));
	}
	ASSERT_EQ(far_jobs.size(), 3U);
	for (const std::string &id : far_jobs)
		ASSERT_TRUE(eventually(
		    [&] { return c.job(far, id).number("running") == 2; }));
	Json before = c.worker_report();

	store.cut(true);
	for (auto &l : links)
		l->cut(true);
	http("POST", "http://" + far_list.addresses[0] + "/_down?on=1");
	ASSERT_TRUE(eventually([&] {
		return c.get(near, "/v1/members").body.find("silent") !=
		    std::string::npos &&
		    c.get(far, "/v1/members").body.find("silent") !=
		    std::string::npos;
	}));
	std::this_thread::sleep_for(std::chrono::seconds(5));
	/* Inside: services run on, and requests are served. */
	for (const std::string &id : far_jobs)
		EXPECT_EQ(c.job(far, id).number("running"), 2);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(c.request(far, "x", {"X-Idempotent: true"}).body,
		    "answer to x");
	/* Outside: served too; the far shard is not taken. */
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
	/* Healed: the change arrives, and nothing ran twice. */
	store.cut(false);
	for (auto &l : links)
		l->cut(false);
	http("POST", "http://" + far_list.addresses[0] + "/_down?on=0");
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

TEST(MemberFaults, WorkWithoutAKeyAvoidsAFullShard)
{
	Layout layout;

	layout.domains = {"d1", "d2"};
	layout.daemons_per_domain = 1;
	layout.workers_per_domain = 2;
	Cluster c(layout);
	int filled = 0;

	c.start();
	Daemon &d = c.daemons[0];

	for (int i = 0; filled < 2 && i < 60; i++) {
		Response r = c.submit(d, "fill" + std::to_string(i),
		    R"("kind":"service","cpu":8,"memory":"20GB")");
		std::string id = r.text("job");

		if (id.rfind("d1.", 0) == 0)
			filled++;
		else
			http("DELETE",
			    "http://" + d.callers() + "/v1/jobs/" + id);
	}
	ASSERT_EQ(filled, 2);
	/* Until heartbeats have carried the loads. */
	std::this_thread::sleep_for(std::chrono::seconds(3));
	for (int i = 0; i < 12; i++) {
		Response r = http("POST", "http://" + d.callers() + "/v1/jobs",
		    R"({"team":"t","name":"n",)" + std::string(kBatch) + "}");

		EXPECT_EQ(r.text("job").rfind("d2.", 0), 0U) << r.body;
	}
}

} // namespace
