#ifndef TESTS_CELL_FIXTURE_H
#define TESTS_CELL_FIXTURE_H

/* Cell daemons as real processes, against the platform's stand-in. */

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "cell_links.h"

constexpr uint32_t kWorkers = 4;
constexpr const char *kHost = "cell.example";

class Cell : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		char name[] = "/tmp/currant-cell-XXXXXX";

		dir = mkdtemp(name);
		platform =
		    std::make_unique<Process>("tests/standins/standin-platform",
			std::vector<std::string>{std::to_string(worker_count),
			    "4000", std::to_string(doors),
			    std::to_string(text_bytes)},
			dir + "/platform.log");
		store = platform->addresses[0];
		advice = platform->addresses[1];
		control = "http://" + platform->addresses[2];
		duties = platform->addresses[3];
		if (has_links)
			links = std::make_unique<CellLinks>(
			    control, dir, worker_count);
	}

	void
	TearDown() override
	{
		if (HasFailure())
			std::cerr << "logs are in " << dir << "\n";
	}

	void
	create_daemons(int n)
	{
		for (; n > 0; n--) {
			size_t i = daemons.size();
			std::string to_store =
			    doors > 0 ? platform->addresses[4 + i] : store;
			std::string to_advice = doors > 0
			    ? platform->addresses[4 + doors + i]
			    : advice;

			if (links) {
				links->add_daemon(to_store, to_advice);
				to_store = links->store(i);
				to_advice = links->advice(i);
			}
			daemons.push_back(std::make_unique<CellDaemon>(dir,
			    "vm-" + std::to_string(i), to_store, to_advice,
			    keep_ended, duties, settings));
			if (links)
				links->lead_peers_to(*daemons.back(), i);
		}
	}

	void
	start_daemons(int n)
	{
		create_daemons(n);
		for (auto &d : daemons)
			d->start();
		configure(1);
		for (auto &d : daemons)
			ASSERT_TRUE(eventually([&] { return d->is_ready(); }));
	}

	/* As the platform's stand-in lengthens it. */
	std::string
	service() const
	{
		std::string name = "batch";

		if (name.size() < text_bytes)
			name.resize(text_bytes, 'x');
		return name;
	}

	void
	configure(int version, const std::string &more = "")
	{
		http("POST", control + "/_config",
		    "{\"version\":" + std::to_string(version) +
			",\"routes\":[{\"name\":\"q\",\"host\":\"" + kHost +
			"\",\"prefix\":\"/q/\",\"service\":\"" + service() +
			"\","
			"\"max_attempts\":2,\"stretch_factor\":4.0,"
			"\"target_latency_ms\":1000}" +
			more + "],\"services\":[{\"name\":\"" + service() +
			"\"}],"
			"\"limits\":{}}");
	}

	Response
	call(const std::string &method, size_t daemon, const std::string &path,
	    const std::string &body = "", long timeout_ms = 4000)
	{
		return http(method, "http://" + daemons[daemon]->callers + path,
		    body, {std::string("Host: ") + kHost}, timeout_ms);
	}

	static std::string
	job_id(int n)
	{
		char id[32];

		snprintf(id, sizeof(id), "%016x", n);
		return id;
	}

	Response
	submit(size_t daemon, int n, int tasks = 2, int work_ms = 200,
	    const std::string &behaviour = "", long timeout_ms = 4000)
	{
		std::string spec =
		    std::to_string(work_ms) + " 1000 " + behaviour;

		return call("POST", daemon, "/q/" + job_id(n),
		    "{\"spec\":\"" + spec +
			"\",\"steps\":[{\"count\":" + std::to_string(tasks) +
			",\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":200}]}",
		    timeout_ms);
	}

	std::string
	state(size_t daemon, int n)
	{
		return call("GET", daemon, "/q/" + job_id(n)).text("state");
	}

	/* Cores of a worker shrink or grow while it runs, or with a new life. */
	void
	resize(uint32_t worker, int cpu, bool reborn = false)
	{
		http("POST", control + "/_size",
		    "{\"worker\":" + std::to_string(worker) +
			",\"cpu\":" + std::to_string(cpu) +
			",\"reborn\":" + (reborn ? "true}" : "false}"));
	}

	/* What another writer leaves among the entries of the workers. */
	void
	put_entry(const std::string &encoded_id, const std::string &text)
	{
		ASSERT_EQ(
		    http("POST", control + "/_entry?id=" + encoded_id, text)
			.status,
		    200);
	}

	static std::string
	entry(const std::string &address, const std::string &cpu = "4000")
	{
		return "{\"service\":\"batch\",\"address\":\"" + address +
		    "\",\"zone\":\"a\",\"state\":\"ready\",\"capacity\":{"
		    "\"cpu\":" +
		    cpu +
		    ",\"mem_mb\":100000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
		    "\"clock_ms\":1}";
	}

	/* No daemon has ended by itself. */
	void
	expect_all_running()
	{
		for (auto &d : daemons)
			EXPECT_EQ(waitpid(d->pid, nullptr, WNOHANG), 0)
			    << d->vm;
	}

	/* A worker that is cut off from the store alone. */
	void
	mute(uint32_t worker, bool on)
	{
		http("POST", control + "/_worker",
		    "{\"worker\":" + std::to_string(worker) +
			",\"off\":false,\"mute\":" + (on ? "true}" : "false}"));
	}

	/* So many jobs that tasks wait all the while, as many run. */
	void
	fill_workers(int jobs)
	{
		for (int n = 0; n < jobs; n++)
			EXPECT_EQ(submit(0, n, 8, 900).status, 200);
		EXPECT_TRUE(
		    eventually([&] { return reported("running") == 16; }));
	}

	void
	inject_fault(const std::string &json)
	{
		ASSERT_EQ(http("POST", control + "/_fault", json).status, 200);
	}

	/* As on a link that is full; one worker has room to run tasks again. */
	void
	delay_replies_of_all_but_one()
	{
		for (uint32_t w = 0; w < kWorkers - 1; w++)
			inject_fault("{\"target\":\"w-" + std::to_string(w) +
			    "\",\"path\":\"hold\",\"kind\":\"slow\","
			    "\"for_ms\":8000,\"delay_ms\":1000}");
	}

	int64_t
	reported(const char *field)
	{
		return http("GET", control + "/_report").number(field);
	}

	/*
	 * No task ran twice at once or again after it was done, and no
	 * worker's cores were exceeded.
	 */
	void
	expect_no_violations()
	{
		EXPECT_EQ(reported("twice"), 0);
		EXPECT_EQ(reported("again"), 0);
		EXPECT_EQ(reported("over"), 0);
	}

	/* The daemon that logged most recently that it owns the pool. */
	size_t
	owner()
	{
		std::string last;
		size_t found = 0;

		for (size_t i = 0; i < daemons.size(); i++) {
			std::istringstream lines(daemons[i]->log_text());
			std::string line;

			while (std::getline(lines, line)) {
				if (line.find("event=owner ") ==
					std::string::npos ||
				    line < last)
					continue;
				last = line;
				found = i;
			}
		}
		return found;
	}

	/* How often a daemon logged that it owns the pool. */
	size_t
	takeovers()
	{
		const std::string line = "event=owner ";
		size_t n = 0;

		for (auto &d : daemons) {
			std::string text = d->log_text();
			size_t at = 0;

			for (; (at = text.find(line, at)) != std::string::npos;
			     at += line.size())
				n++;
		}
		return n;
	}

	bool
	owns(size_t daemon)
	{
		return daemons[daemon]->log_text().find("event=owner ") !=
		    std::string::npos;
	}

	bool
	owner_logged(const std::string &text)
	{
		return daemons[owner()]->log_text().find(text) !=
		    std::string::npos;
	}

	void
	wait_completed(size_t daemon, int from, int to)
	{
		for (int n = from; n < to; n++)
			EXPECT_TRUE(eventually(
			    [&] { return state(daemon, n) == "completed"; },
			    20000))
			    << "job " << n << " is " << state(daemon, n);
	}

	/*
	 * Job 1 runs to its end while the store is down; no daemon shows that
	 * as long as it isn't stored.
	 */
	void
	complete_job_1_during_an_outage()
	{
		/* Daemons learn of each other through the store. */
		usleep(1000000);
		EXPECT_EQ(submit(0, 1, 2, 1000).status, 200);
		ASSERT_TRUE(
		    eventually([&] { return reported("running") == 2; }));
		inject_fault("{\"target\":\"store\",\"path\":\"\","
			     "\"kind\":\"down\",\"for_ms\":60000}");
		ASSERT_TRUE(
		    eventually([&] { return reported("done") == 2; }, 4000));
		for (int n = 0; n < 15; n++) {
			for (size_t d = 0; d < daemons.size(); d++)
				EXPECT_NE(
				    call("GET", d, "/q/" + job_id(1), "", 300)
					.text("state"),
				    "completed");
			usleep(100000);
		}
	}

	/* All daemons and workers lose power, and come back after the store. */
	void
	lose_all_power()
	{
		for (auto &d : daemons)
			d->end(SIGKILL);
		for (uint32_t w = 0; w < worker_count; w++)
			http("POST", control + "/_worker",
			    "{\"worker\":" + std::to_string(w) +
				",\"off\":false,\"reborn\":true}");
		http("POST", control + "/_clear");
		for (auto &d : daemons)
			d->start();
	}

	uint32_t worker_count = kWorkers;
	/* To the store and the advice service, one for each daemon if any. */
	uint32_t doors = 0;
	bool has_links = false;
	/* Least length of ids and labels of workers, services and tickets. */
	size_t text_bytes = 0;
	std::string settings;
	std::string keep_ended = "120s";
	std::string dir;
	std::unique_ptr<Process> platform;
	std::unique_ptr<CellLinks> links;
	std::string store;
	std::string advice;
	std::string control;
	std::string duties;
	std::vector<std::unique_ptr<CellDaemon>> daemons;
};

class RelayedCell : public Cell
{
      protected:
	RelayedCell()
	{
		settings = "relay_above = 0\nsmall_cell = 0\n";
	}

	/* Whether a daemon has relayed calls to workers. */
	bool
	has_relayed(size_t daemon)
	{
		std::string text = http(
		    "GET", "http://" + daemons[daemon]->metrics + "/metrics")
				       .body;
		std::string name = "currant_calls_relayed ";
		size_t at = text.find(name);

		return at != std::string::npos &&
		    atoll(text.c_str() + at + name.size()) > 0;
	}

	/* A daemon that relays; the few workers may all use the same one. */
	size_t
	wait_for_relay()
	{
		size_t current = owner();
		size_t found = current;

		EXPECT_TRUE(eventually([&] {
			found = has_relayed((current + 1) % 3)
			    ? (current + 1) % 3
			    : (current + 2) % 3;
			return has_relayed(found);
		}));
		return found;
	}
};

#endif
