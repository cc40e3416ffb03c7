/* Daemons that load a large key space while callers ask for its jobs. */

#include <atomic>

#include "cell_fixture.h"

namespace
{

constexpr int kEndedJobs = 2000;
constexpr int kWaitingJobs = 1000;
constexpr int kJobs = kEndedJobs + kWaitingJobs;
constexpr int kDaemons = 3;
constexpr long kDeadlineMs = 3000;
/* The platform's store gives about so many items at a time. */
constexpr int kPageItems = 500;

int64_t
now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

bool
is_listening(const std::string &address)
{
	struct sockaddr_in sin = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int rc;

	sin.sin_family = AF_INET;
	sin.sin_port = htons(
	    (uint16_t)atoi(address.substr(address.find(':') + 1).c_str()));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rc = connect(fd, (struct sockaddr *)&sin, sizeof(sin));
	close(fd);
	return rc == 0;
}

} // namespace

class CellWithALargeStore : public Cell
{
      protected:
	/* What callers saw that asked one daemon for every accepted job. */
	struct Tally {
		int64_t listening_ms = 0; /* after its start */
		int64_t answered_ms = 0;
		int64_t slowest_ms = 0;
		int not_ready = 0;
		int gone = 0;
		int unanswered = 0;
		int other = 0;
	};

	std::vector<std::string>
	headers()
	{
		return {std::string("Host: ") + kHost,
		    "X-Curranttack-Deadline-Remaining: " +
			std::to_string(kDeadlineMs)};
	}

	std::string
	url(size_t daemon, int n)
	{
		return "http://" + daemons[daemon]->callers + "/q/" + job_id(n);
	}

	int
	accept(int from, int to, int work_ms, int cpu)
	{
		constexpr int callers = 6;
		std::vector<std::thread> threads;
		std::atomic<int> accepted = 0;
		std::string cpu_text = std::to_string(cpu);
		std::string body = "{\"spec\":\"" + std::to_string(work_ms) +
		    " " + cpu_text +
		    " \",\"steps\":[{\"count\":1,\"cpu\":" + cpu_text +
		    ",\"mem_mb\":1,\"estimate_ms\":200}]}";

		for (int t = 0; t < callers; t++)
			threads.emplace_back([&, t] {
				KeptClient client;

				for (int n = from + t; n < to; n += callers)
					accepted +=
					    client
						.request("POST",
						    url(t % kDaemons, n), body,
						    headers(), kDeadlineMs)
						.status == 200;
			});
		for (auto &t : threads)
			t.join();
		return accepted;
	}

	/* 503 is asked again, as a caller does until its deadline. */
	void
	ask_for_all(size_t daemon, int64_t started_ms, Tally *tally)
	{
		KeptClient client;

		while (!is_listening(daemons[daemon]->callers))
			usleep(1000);
		tally->listening_ms = now_ms() - started_ms;
		for (int n = 0; n < kJobs; n++) {
			int64_t asked_ms = now_ms();
			Response r;

			do {
				r = client.request("GET", url(daemon, n), "",
				    headers(), kDeadlineMs);
				tally->not_ready += r.status == 503;
				if (r.status == 503)
					usleep(5000);
			} while (r.status == 503 &&
			    now_ms() - asked_ms < kDeadlineMs);
			if (r.status == 200 && tally->answered_ms == 0)
				tally->answered_ms = now_ms() - started_ms;
			tally->slowest_ms =
			    std::max(tally->slowest_ms, now_ms() - asked_ms);
			tally->gone += r.status == 410;
			tally->unanswered += r.status == 0;
			tally->other +=
			    r.status != 200 && r.status != 410 && r.status != 0;
		}
	}

	void
	fill_store()
	{
		start_daemons(kDaemons);
		http("POST",
		    control + "/_page?items=" + std::to_string(kPageItems));
		ASSERT_EQ(accept(0, kEndedJobs, 1, 100), kEndedJobs);
		wait_completed(0, kEndedJobs - 1, kEndedJobs);
		ASSERT_EQ(accept(kEndedJobs, kJobs, 20000, 4000), kWaitingJobs);
	}

	void
	ask_all_daemons_for_all()
	{
		std::vector<Tally> tallies(kDaemons);
		std::vector<std::thread> threads;
		int64_t started_ms = now_ms();

		for (auto &d : daemons)
			d->start();
		for (size_t i = 0; i < kDaemons; i++)
			threads.emplace_back([&, i] {
				ask_for_all(i, started_ms, &tallies[i]);
			});
		for (auto &t : threads)
			t.join();
		for (const Tally &t : tallies) {
			SCOPED_TRACE("listening after " +
			    std::to_string(t.listening_ms) +
			    " ms, first answer after " +
			    std::to_string(t.answered_ms) + " ms, not ready " +
			    std::to_string(t.not_ready) + " times");
			EXPECT_EQ(t.gone, 0);
			EXPECT_EQ(t.unanswered, 0);
			EXPECT_EQ(t.other, 0);
			EXPECT_LT(t.slowest_ms, kDeadlineMs);
		}
	}

	void
	kill_all()
	{
		for (auto &d : daemons)
			d->signal(SIGKILL);
		for (auto &d : daemons)
			d->end(SIGKILL);
	}
};

TEST_F(CellWithALargeStore, EveryJobIsKnownEverywhereWhenAllDaemonsWereKilled)
{
	fill_store();
	kill_all();
	ask_all_daemons_for_all();
	expect_all_running();
}

/* Pages are refused or get no answer; each time the load is begun anew. */
TEST_F(CellWithALargeStore, EveryJobIsKnownEverywhereThoughLoadsFail)
{
	fill_store();
	kill_all();
	inject_fault("{\"target\":\"store\",\"path\":\"kv-range\","
		     "\"kind\":\"refuse\",\"for_ms\":1500,\"percent\":50}");
	ask_all_daemons_for_all();
	expect_all_running();
}

/* One daemon loads, and history is dropped, while jobs are accepted. */
TEST_F(CellWithALargeStore, AcceptedJobIsKnownToADaemonThatLoads)
{
	std::atomic<bool> ended = false;
	std::atomic<int> gone = 0;
	std::atomic<int> late = 0;
	std::vector<std::thread> threads;
	int accepted = 0;

	fill_store();
	threads.emplace_back([&] {
		for (int n = 0; n < 8; n++) {
			daemons[2]->end(SIGKILL);
			daemons[2]->start();
			usleep(700000);
			http("POST", control + "/_forget");
			usleep(300000);
		}
		ended = true;
	});
	for (int n = kJobs; !ended; n++) {
		if (submit(n % 2, n, 1, 20000).status != 200)
			continue;
		accepted++;
		for (size_t d = 0; d < kDaemons; d++) {
			int64_t asked_ms = now_ms();
			Response r;

			do
				r = call("GET", d, "/q/" + job_id(n));
			while ((r.status == 503 || r.status == 0) &&
			    now_ms() - asked_ms < kDeadlineMs);
			gone += r.status == 410;
			late += r.status != 200 && r.status != 410;
		}
	}
	for (auto &t : threads)
		t.join();
	EXPECT_GT(accepted, 100);
	EXPECT_EQ(gone, 0);
	EXPECT_EQ(late, 0);
}

/* The store is asked for 3 s, whatever time the caller has left. */
TEST_F(Cell, QueryForAJobThatOnlyTheStoreKnowsIsAnsweredBeforeItsDeadline)
{
	std::vector<std::string> headers = {std::string("Host: ") + kHost,
	    "X-Curranttack-Deadline-Remaining: 1000"};

	start_daemons(1);
	inject_fault("{\"target\":\"store\",\"path\":\"kv-range\","
		     "\"kind\":\"down\",\"for_ms\":2500}");
	for (const char *method : {"GET", "DELETE"}) {
		std::string url =
		    "http://" + daemons[0]->callers + "/q/" + job_id(1);

		EXPECT_EQ(http(method, url, "", headers, 1000).status, 503)
		    << method;
	}
}
