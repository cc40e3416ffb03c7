/* Requests to services while daemons, endpoints or the store fail. */
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <set>
#include <thread>

#include "cluster.h"

namespace
{

void
sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

TEST(RequestFaults, ConcurrentRequestsWithOneKeyRunOnce)
{
	Layout layout;

	layout.domains = {"d1", "d2"};
	layout.daemons_per_domain = 1;
	Cluster c(layout);

	c.start();
	for (int i = 0; i < 20; i++) {
		std::string key = "order" + std::to_string(i);
		Response r[2];
		std::thread other([&] {
			r[1] = c.request(
			    c.daemons[1], key, {"Idempotency-Key: " + key});
		});

		r[0] =
		    c.request(c.daemons[0], key, {"Idempotency-Key: " + key});
		other.join();
		EXPECT_EQ(r[0].body, "answer to " + key);
		EXPECT_EQ(r[1].body, "answer to " + key);
		EXPECT_EQ(c.execution_count(key), 1);
	}
	EXPECT_EQ(
	    c.request(c.daemons[1], "other body", {"Idempotency-Key: order0"})
		.status,
	    409);
	c.expect_no_violation();
}

TEST(RequestFaults, ClaimSurvivesATakeover)
{
	Cluster c({});

	c.start();
	Daemon *owner = c.owner("d1");
	Daemon &other = c.another_running(*owner);

	for (int i = 0; i < 10; i++) {
		std::string key = "order" + std::to_string(i);

		ASSERT_EQ(
		    c.request(other, key, {"Idempotency-Key: " + key}).body,
		    "answer to " + key);
	}
	/* The end of a claim is reported after the response has been sent. */
	sleep_ms(500);
	owner->process->signal(SIGKILL);
	ASSERT_TRUE(eventually([&] { return c.owner("d1") != nullptr; }));
	for (int i = 0; i < 10; i++) {
		std::string key = "order" + std::to_string(i);

		EXPECT_EQ(
		    c.request(other, key, {"Idempotency-Key: " + key}).body,
		    "answer to " + key);
		EXPECT_EQ(c.execution_count(key), 1);
	}
	c.expect_no_violation();
}

TEST(RequestFaults, ClaimWithALostAppendResponseRunsOnce)
{
	Cluster c({});

	c.start();
	for (int i = 0; i < 6; i++) {
		std::string key = "order" + std::to_string(i);

		c.inject_fault(
		    R"({"kind":"lost","method":"PUT","match":"/log/","count":1})");
		EXPECT_EQ(c.request(c.daemons[(size_t)i % 2], key,
			       {"Idempotency-Key: " + key})
			      .body,
		    "answer to " + key);
		EXPECT_EQ(c.execution_count(key), 1);
		c.clear_faults();
	}
	c.expect_no_violation();
}

TEST(RequestFaults, UnsafeRequestWithALostResponseRunsOnce)
{
	Cluster c({});

	c.start();
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(
		    c.request(c.daemons[0], "used connections", {}).status,
		    200);
	for (int i = 0; i < 5; i++) {
		std::string key = "order" + std::to_string(i);

		for (size_t e = 0; e < c.endpoint_address.size(); e++)
			c.set_endpoint_behaviour(e, R"({"drops":1})");
		EXPECT_EQ(
		    c.request(c.daemons[0], key, {"Idempotency-Key: " + key})
			.status,
		    504);
		EXPECT_EQ(c.execution_count(key), 1);
		for (size_t e = 0; e < c.endpoint_address.size(); e++)
			c.set_endpoint_behaviour(e, R"({"drops":0})");
		EXPECT_EQ(
		    c.request(c.daemons[0], "used connections", {}).status,
		    200);
	}
	c.expect_no_violation();
}

TEST(RequestFaults, RequestOfAKilledDaemonIsUnknownAndNotRepeated)
{
	Layout layout;

	layout.service_time_us = 1500000;
	Cluster c(layout);

	c.start();
	Daemon *owner = c.owner("d1");
	Daemon &receiver = c.another_running(*owner);
	std::thread caller([&] {
		c.request(receiver, "x",
		    {"Idempotency-Key: order", "X-Deadline-Ms: 3000"});
	});

	ASSERT_TRUE(
	    eventually([&] { return c.execution_count("order") == 1; }));
	receiver.process->signal(SIGKILL);
	caller.join();
	Response r = c.request(
	    *owner, "x", {"Idempotency-Key: order", "X-Deadline-Ms: 20000"});

	EXPECT_EQ(r.outcome, "unknown") << r.body;
	EXPECT_EQ(c.execution_count("order"), 1);
	c.expect_no_violation();
}

struct EndpointCase {
	const char *name;
	const char *behaviour;
};

class BadEndpoint : public testing::TestWithParam<EndpointCase>
{
};

/* One of two endpoints misbehaves; idempotent requests still succeed. */
TEST_P(BadEndpoint, IdempotentRequestsGetFullResponse)
{
	Cluster c({});
	std::atomic<int> good{0};
	std::atomic<int> wrong{0};
	std::vector<std::thread> callers;

	c.start();
	c.set_endpoint_behaviour(0, GetParam().behaviour);
	for (int t = 0; t < 4; t++) {
		callers.emplace_back([&, t] {
			for (int i = 0; i < 50; i++) {
				std::string body = "r" + std::to_string(t) +
				    "-" + std::to_string(i);
				Response r =
				    c.request(c.daemons[(size_t)t % 2], body,
					{"X-Idempotent: true",
					    "X-Deadline-Ms: 4000"});

				if (r.body == "answer to " + body)
					good++;
				else if (r.outcome == "done")
					wrong++;
			}
		});
	}
	for (std::thread &t : callers)
		t.join();
	EXPECT_EQ(wrong, 0) << "response truncated or swapped";
	EXPECT_GE(good, 160);
	c.expect_no_violation();
}

INSTANTIATE_TEST_SUITE_P(Table, BadEndpoint,
    testing::Values(EndpointCase{"RefusesAll", R"({"refuse":true})"},
	EndpointCase{"TruncatesResponses", R"({"cut":true})"},
	EndpointCase{"Slow", R"({"service_us":800000})"}),
    [](const testing::TestParamInfo<EndpointCase> &i) { return i.param.name; });

TEST(RequestFaults, TruncatedResponseOfANonIdempotentRequestIsUnknown)
{
	Cluster c({});

	c.start();
	c.set_endpoint_behaviour(0, R"({"cut":true})");
	c.set_endpoint_behaviour(1, R"({"cut":true})");
	for (int i = 0; i < 5; i++) {
		std::string key = "fine" + std::to_string(i);
		Response r =
		    c.request(c.daemons[0], key, {"Idempotency-Key: " + key});

		EXPECT_EQ(r.outcome, "unknown") << r.body;
		EXPECT_EQ(c.execution_count(key), 1);
	}
	c.expect_no_violation();
}

TEST(RequestFaults, RequestsReportedAsNotRunWereNotRun)
{
	Layout layout;

	layout.service_time_us = 200000;
	Cluster c(layout);
	std::vector<std::thread> callers;
	std::vector<std::vector<std::string>> not_run(60);

	c.start();
	/* Far more requests than slots and queues can hold. */
	for (int t = 0; t < 60; t++) {
		callers.emplace_back([&, t] {
			for (int i = 0; i < 6; i++) {
				std::string key = "o" + std::to_string(t) +
				    "-" + std::to_string(i);
				Response r =
				    c.request(c.daemons[(size_t)t % 2], key,
					{"Idempotency-Key: " + key,
					    "X-Deadline-Ms: 900"});

				if (r.outcome == "not_run")
					not_run[(size_t)t].push_back(key);
			}
		});
	}
	for (std::thread &t : callers)
		t.join();
	size_t n = 0;

	for (const auto &list : not_run) {
		for (const std::string &key : list) {
			EXPECT_EQ(c.execution_count(key), 0) << key;
			n++;
		}
	}
	EXPECT_GT(n, 0U) << "load too low: no request was refused";
	c.expect_no_violation();
}

TEST(RequestFaults, GracefulShutdownCompletesRequests)
{
	Layout layout;

	layout.service_time_us = 400000;
	Cluster c(layout);
	std::vector<std::thread> callers;
	std::atomic<int> aborted{0};
	std::atomic<int> good{0};
	std::atomic<bool> stop{false};

	c.start();
	Daemon &d = c.daemons[0];

	for (int t = 0; t < 6; t++) {
		callers.emplace_back([&] {
			/* Like a load balancer, send only while it is ready. */
			while (!stop &&
			    http("GET", "http://" + d.callers() + "/ready")
				    .status == 200) {
				Response r =
				    c.request(d, "x", {"X-Deadline-Ms: 5000"});

				if (r.body == "answer to x")
					good++;
				else if (r.status == 0)
					aborted++;
			}
		});
	}
	sleep_ms(1000);
	d.process->signal(SIGTERM);
	int code = d.process->wait(25000);

	stop = true;
	for (std::thread &t : callers)
		t.join();
	EXPECT_EQ(code, 0);
	EXPECT_EQ(aborted, 0);
	EXPECT_GT(good, 6);
}

} // namespace
