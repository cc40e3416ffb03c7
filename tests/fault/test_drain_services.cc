/* Requests to services, jobs and operators' pages while their daemon ends. */
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <deque>
#include <fstream>
#include <sstream>
#include <thread>

#include "cluster.h"
#include "raw_caller.h"

namespace
{

constexpr int kCallers = 12;

class DrainOfServices : public testing::Test
{
      protected:
	void
	start(int64_t service_time_us)
	{
		Layout layout;

		layout.service_time_us = service_time_us;
		layout.daemons_per_domain = 2;
		c = std::make_unique<Cluster>(layout);
		c->start();
	}

	Daemon &
	daemon()
	{
		return c->daemons[0];
	}

	void
	replace_drain(const std::string &setting)
	{
		std::ifstream from(daemon().settings_path);
		std::ostringstream text;
		std::string settings;

		text << from.rdbuf();
		settings = text.str();
		settings.replace(settings.find("drain = \"20s\""),
		    strlen("drain = \"20s\""), setting);
		std::ofstream(daemon().settings_path) << settings;
	}

	/* Settings that may change are read again on SIGHUP. */
	void
	set_drain(const std::string &duration)
	{
		replace_drain("drain = \"" + duration + "\"");
		daemon().process->signal(SIGHUP);
		usleep(300000);
	}

	/* One line per request that was cut. */
	void
	note(End end, const RawCaller &caller, const std::string &what)
	{
		total++;
		if (end != End::CUT && end != End::TIMEOUT)
			return;
		cut++;
		std::cerr << what + " cut " +
			std::to_string(caller.elapsed_ms()) +
			" ms after it was sent\n";
	}

	void
	go_on_until_the_exit(const std::string &address,
	    const std::string &method, const std::string &path)
	{
		std::vector<std::thread> threads;
		std::atomic<bool> over{false};

		for (int t = 0; t < kCallers; t++) {
			threads.emplace_back([&] {
				RawCaller caller(address);

				while (!over)
					note(caller.request(method, path, "x"),
					    caller, method + " " + path);
			});
		}
		usleep(500000);
		daemon().process->signal(SIGTERM);
		EXPECT_EQ(daemon().process->wait(25000), 0);
		over = true;
		for (std::thread &t : threads)
			t.join();
		EXPECT_GT(total, kCallers);
		EXPECT_EQ(cut, 0) << "of " << total;
	}

	std::unique_ptr<Cluster> c;
	std::atomic<int> total{0};
	std::atomic<int> cut{0};
};

TEST_F(DrainOfServices, RequestsAreAnsweredUntilCallersAreRefused)
{
	start(5000);
	go_on_until_the_exit(
	    daemon().callers(), "POST", "/v1/services/svc/requests");
}

TEST_F(DrainOfServices, ReadinessIsAnsweredUntilCallersAreRefused)
{
	start(5000);
	go_on_until_the_exit(daemon().callers(), "GET", "/ready");
}

TEST_F(DrainOfServices, OperatorsAreAnsweredUntilTheyAreRefused)
{
	start(5000);
	go_on_until_the_exit(daemon().operators(), "GET", "/metrics");
}

TEST_F(DrainOfServices, AnswersAskToCloseTheConnection)
{
	start(5000);
	for (const std::string &address :
	    {daemon().callers(), daemon().operators()}) {
		RawCaller caller(address);
		ASSERT_EQ(caller.request("GET", "/ready"), End::ANSWERED);
		EXPECT_FALSE(caller.has_header("Connection: close"));
	}
	daemon().process->signal(SIGTERM);
	usleep(300000);
	for (const std::string &address :
	    {daemon().callers(), daemon().operators()}) {
		RawCaller caller(address);
		ASSERT_EQ(caller.request("GET", "/ready"), End::ANSWERED);
		EXPECT_TRUE(caller.has_header("Connection: close"));
	}
	EXPECT_EQ(daemon().process->wait(25000), 0);
}

/* The time-out of idle connections is shorter than the service takes. */
TEST_F(DrainOfServices, ConnectionWithAWaitingRequestIsNotIdle)
{
	start(3500000);
	replace_drain("idle_seconds = 1");
	daemon().process->signal(SIGKILL);
	daemon().process->wait(5000);
	daemon().process =
	    std::make_unique<Process>("curranttackd/curranttackd",
		std::vector<std::string>{"--config", daemon().settings_path},
		daemon().settings_path + ".log");
	ASSERT_TRUE(eventually([&] {
		return http("GET", "http://" + daemon().callers() + "/ready")
			   .status == 200;
	}));
	RawCaller busy(daemon().callers());
	RawCaller idle(daemon().callers());
	ASSERT_TRUE(eventually([&] {
		return idle.request("POST", "/v1/services/svc/requests", "x") ==
		    End::ANSWERED &&
		    idle.status == 200;
	}));
	EXPECT_EQ(busy.request("POST", "/v1/services/svc/requests", "x"),
	    End::ANSWERED);
	EXPECT_EQ(busy.status, 200);
	EXPECT_FALSE(idle.is_open());
}

TEST_F(DrainOfServices, WhatStillWaitsIsAnsweredBeforeTheExit)
{
	start(30000000);
	set_drain("3s");
	Response submitted = c->submit(daemon(), "long",
	    R"("kind":"service","count":1,"cpu":1,"memory":"1GB")");
	std::string id = submitted.text("job");
	ASSERT_EQ(submitted.status, 202) << submitted.body;
	RawCaller service(daemon().callers());
	RawCaller job(daemon().callers());

	service.more_headers = "X-Deadline-Ms: 60000\r\n";
	ASSERT_TRUE(service.connect());
	ASSERT_TRUE(service.send("POST", "/v1/services/svc/requests", "x"));
	ASSERT_TRUE(job.connect());
	ASSERT_TRUE(job.send("GET", "/v1/jobs/" + id + "?wait_ms=60000"));
	usleep(300000);
	daemon().process->signal(SIGTERM);
	EXPECT_EQ(service.receive(), End::ANSWERED);
	EXPECT_EQ(service.status, 504);
	EXPECT_TRUE(service.has_header("X-Outcome: unknown"));
	EXPECT_EQ(job.receive(), End::ANSWERED) << id;
	EXPECT_TRUE(job.status == 200 || job.status == 202 ||
	    (job.status == 503 && job.has_header("Retry-After")))
	    << job.text;
	EXPECT_EQ(daemon().process->wait(5000), 0);
}

} // namespace
