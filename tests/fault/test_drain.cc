#include "cell_fixture.h"
#include "raw_caller.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <random>

/* Requests on open connections while their daemon ends. */

namespace
{

constexpr int kCallers = 24;
constexpr int kStops = 6;
/* Of the grace period of 6 s. */
constexpr int64_t kGraceMs = 6000;

int64_t
now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

/* How requests ended; safe from any thread. */
class Tally
{
      public:
	void
	note(End end, const RawCaller &caller, const std::string &what)
	{
		counts[(size_t)end]++;
		if (end == End::ANSWERED || end == End::NOT_SENT)
			return;
		std::lock_guard<std::mutex> guard(lock);
		unanswered += what + " " +
		    (end == End::CUT ? "cut" : "without an answer") + " " +
		    std::to_string(caller.elapsed_ms()) + " ms after it was " +
		    "sent, " + std::to_string(now_ms() - since_ms) +
		    " ms after SIGTERM\n";
	}

	int
	count(End end) const
	{
		return counts[(size_t)end];
	}

	int
	total() const
	{
		return counts[0] + counts[1] + counts[2] + counts[3];
	}

	std::atomic<int64_t> since_ms{0};
	std::string unanswered;

      private:
	std::mutex lock;
	std::atomic<int> counts[4]{};
};

class Drain : public Cell
{
      protected:
	void
	terminate(size_t daemon)
	{
		tally.since_ms = now_ms();
		daemons[daemon]->signal(SIGTERM);
	}

	void
	sleep_until(int64_t ms_after_sigterm)
	{
		int64_t left = tally.since_ms + ms_after_sigterm - now_ms();

		if (left > 0)
			usleep((useconds_t)left * 1000);
	}

	/* Waits for the end of a daemon that got SIGTERM. */
	void
	expect_exit_in_time(size_t daemon)
	{
		int status = -1;

		EXPECT_EQ(waitpid(daemons[daemon]->pid, &status, 0),
		    daemons[daemon]->pid);
		EXPECT_EQ(status, 0);
		EXPECT_LT(now_ms() - tally.since_ms, kGraceMs);
		daemons[daemon]->pid = -1;
	}

	static std::string
	body_of_job()
	{
		return "{\"spec\":\"50 1000 \",\"steps\":[{\"count\":1,"
		       "\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":200}]}";
	}

	/* GET and POST by turns; few of the jobs are new. */
	void
	play_turn(RawCaller &caller, int n)
	{
		std::string method = n % 2 == 0 ? "GET" : "POST";
		End end = n % 2 == 0
		    ? caller.request("GET", "/q/" + job_id(n & ~0x7f))
		    : caller.request(
			  "POST", "/q/" + job_id(n & ~0x7f), body_of_job());

		tally.note(end, caller, method);
	}

	void
	expect_nothing_cut()
	{
		EXPECT_EQ(tally.count(End::CUT), 0) << tally.unanswered;
		EXPECT_EQ(tally.count(End::TIMEOUT), 0) << tally.unanswered;
	}

	Tally tally;

	std::string
	last_line(size_t daemon, const std::string &event)
	{
		std::string text = daemons[daemon]->log_text();
		size_t at = text.rfind("event=" + event + " ");

		if (at == std::string::npos)
			return "";
		return text.substr(at, text.find('\n', at) - at);
	}
};

TEST_F(Drain, LastLineTellsWhatWasOpenAndHowRequestsEnded)
{
	start_daemons(1);
	RawCaller caller(daemons[0]->callers);
	ASSERT_EQ(caller.request("GET", "/q/"), End::ANSWERED);
	EXPECT_EQ(daemons[0]->end(SIGTERM), 0);
	std::string line = last_line(0, "stopped");
	EXPECT_NE(line.find(" connections=1 reading=0 unanswered=0 sending=0 "),
	    std::string::npos)
	    << line;
	EXPECT_NE(line.find(" cut=0 answered_at_end=0 "), std::string::npos)
	    << line;
}

/* A quarter of the callers go on with the daemon that ends. */
TEST_F(Drain, NoRequestIsCutWhileDaemonsEndInTurn)
{
	std::vector<std::thread> threads;
	std::atomic<int> ending{-1};
	std::atomic<bool> over{false};

	start_daemons(3);
	for (int t = 0; t < kCallers; t++) {
		threads.emplace_back([&, t] {
			std::mt19937 random((unsigned)t);
			std::deque<RawCaller> callers;
			size_t at = 0;

			for (auto &d : daemons)
				callers.emplace_back(d->callers);
			for (int n = t << 20; !over; n++) {
				int gone = ending;

				if (t % 4 == 0 && gone >= 0)
					at = (size_t)gone;
				else if ((int)at == gone)
					at = (at + 1 + random() % 2) % 3;
				else if (!callers[at].is_open())
					at = random() % 3;
				play_turn(callers[at], n);
				usleep(1000);
			}
		});
	}
	for (int stop = 0; stop < kStops; stop++) {
		size_t daemon = (size_t)stop % 3;

		usleep(1000000);
		ending = (int)daemon;
		terminate(daemon);
		expect_exit_in_time(daemon);
		usleep(100000);
		ending = -1;
		daemons[daemon]->start();
		EXPECT_TRUE(
		    eventually([&] { return daemons[daemon]->is_ready(); }));
	}
	over = true;
	for (std::thread &t : threads)
		t.join();
	std::cout << "requests " << tally.total() << ", answered "
		  << tally.count(End::ANSWERED) << ", not sent "
		  << tally.count(End::NOT_SENT) << ", cut "
		  << tally.count(End::CUT) << "\n";
	expect_nothing_cut();
}

/* The store answers nothing while the daemon claims the pool. */
TEST_F(Drain, PoolThatIsWonAfterSigtermIsReleased)
{
	start_daemons(1);
	kill(platform->pid, SIGSTOP);
	usleep(450000);
	terminate(0);
	usleep(100000);
	kill(platform->pid, SIGCONT);
	expect_exit_in_time(0);
	EXPECT_LT(now_ms() - tally.since_ms, 4000);
	EXPECT_TRUE(owns(0));
}

/* Callers go on with all daemons while something else happens to these. */
class Steady : public Drain
{
      protected:
	void
	play_while(const std::function<void()> &happens)
	{
		std::vector<std::thread> threads;
		std::atomic<bool> over{false};

		for (int t = 0; t < kCallers; t++) {
			threads.emplace_back([&, t] {
				RawCaller caller(
				    daemons[(size_t)t % daemons.size()]
					->callers);

				for (int n = t << 20; !over; n++) {
					play_turn(caller, n);
					usleep(1000);
				}
			});
		}
		tally.since_ms = now_ms();
		happens();
		over = true;
		for (std::thread &t : threads)
			t.join();
		EXPECT_GT(tally.count(End::ANSWERED), kCallers);
		EXPECT_EQ(tally.count(End::NOT_SENT), 0);
		expect_nothing_cut();
	}
};

TEST_F(Steady, HangupCutsNothing)
{
	start_daemons(2);
	play_while([&] {
		for (int i = 0; i < 20; i++) {
			daemons[(size_t)i % 2]->signal(SIGHUP);
			usleep(100000);
		}
	});
}

TEST_F(Steady, ConfigurationCutsNothing)
{
	start_daemons(2);
	play_while([&] {
		for (int version = 2; version < 22; version++) {
			configure(version,
			    version % 2 == 0
				? ",{\"name\":\"r\",\"host\":\"cell.example\","
				  "\"prefix\":\"/r/\",\"service\":\"batch\"}"
				: "");
			usleep(100000);
		}
	});
}

/* Far more than the workers can do. */
TEST_F(Steady, OwnerServesWhileThousandsOfJobsWait)
{
	constexpr int per_caller = 350;
	constexpr int64_t ack_ms = 4000;
	std::vector<std::thread> threads;
	std::atomic<int64_t> slowest_ms{0};

	start_daemons(1);
	ASSERT_TRUE(eventually([&] { return owns(0); }));
	for (int t = 0; t < kCallers; t++) {
		threads.emplace_back([&, t] {
			RawCaller caller(daemons[0]->callers);

			for (int n = 0; n < per_caller; n++) {
				tally.note(caller.request("POST",
					       "/q/" + job_id((t << 20) + n),
					       body_of_job()),
				    caller, "POST");
				if (caller.elapsed_ms() > slowest_ms)
					slowest_ms = caller.elapsed_ms();
			}
		});
	}
	for (std::thread &t : threads)
		t.join();
	EXPECT_LT(slowest_ms, ack_ms);
	EXPECT_FALSE(owner_logged("lease has ended"));
	expect_nothing_cut();
}

TEST_F(Drain, BodyThatIsTooLargeIsAnswered)
{
	start_daemons(1);
	RawCaller caller(daemons[0]->callers);
	std::string body((size_t)3 << 19, 'x');
	EXPECT_EQ(
	    caller.request("POST", "/q/" + job_id(1), body), End::ANSWERED);
	EXPECT_EQ(caller.status, 413);
	terminate(0);
	EXPECT_EQ(
	    caller.request("POST", "/q/" + job_id(1), body), End::ANSWERED);
	EXPECT_EQ(caller.status, 413);
	expect_exit_in_time(0);
}

/* The connection is closed after the first answer, which says so. */
TEST_F(Drain, FirstOfTwoRequestsSentAtOnceIsAnswered)
{
	std::string one = "GET /q/ HTTP/1.1\r\nHost: cell.example\r\n\r\n";

	start_daemons(1);
	terminate(0);
	usleep(100000);
	for (int i = 0; i < 20; i++) {
		RawCaller caller(daemons[0]->callers);

		ASSERT_TRUE(caller.connect());
		ASSERT_TRUE(caller.send_text(one + one));
		usleep(20000);
		EXPECT_EQ(caller.receive(), End::ANSWERED);
		EXPECT_TRUE(caller.has_header("Connection: close"));
	}
	expect_exit_in_time(0);
}

/* A daemon asks the owner for the state of a job. */
class DrainBesideAFrozenOwner : public Drain
{
      protected:
	DrainBesideAFrozenOwner()
	{
		settings = "relay_above = 0\nsmall_cell = 0\n";
	}
};

TEST_F(DrainBesideAFrozenOwner, QueriesAreAnsweredUntilTheExit)
{
	std::vector<std::thread> threads;
	std::atomic<bool> over{false};

	start_daemons(3);
	EXPECT_EQ(submit(0, 1, 1, 60000).status, 200);
	ASSERT_TRUE(eventually([&] { return reported("running") == 1; }));
	size_t frozen = owner();
	size_t ending = (frozen + 1) % 3;

	daemons[frozen]->signal(SIGSTOP);
	for (int t = 0; t < kCallers; t++) {
		threads.emplace_back([&] {
			RawCaller caller(daemons[ending]->callers);

			while (!over)
				tally.note(
				    caller.request("GET", "/q/" + job_id(1)),
				    caller, "GET");
		});
	}
	terminate(ending);
	expect_exit_in_time(ending);
	over = true;
	for (std::thread &t : threads)
		t.join();
	EXPECT_GT(tally.count(End::ANSWERED), kCallers);
	expect_nothing_cut();
}

/* Its last moments pass while it is frozen. */
TEST_F(Drain, RequestThatWaitedWhileTheDaemonWasFrozenIsAnswered)
{
	std::deque<RawCaller> callers;

	start_daemons(2);
	for (int i = 0; i < 8; i++) {
		callers.emplace_back(daemons[0]->callers);
		callers.back().more_headers =
		    "X-Curranttack-Deadline-Remaining: 9000\r\n";
		ASSERT_TRUE(callers.back().connect());
	}
	inject_fault("{\"target\":\"store\",\"path\":\"kv-txn\","
		     "\"kind\":\"down\",\"for_ms\":9000}");
	terminate(0);
	sleep_until(2800);
	for (int i = 0; i < 8; i++)
		EXPECT_TRUE(callers[(size_t)i].send(
		    "POST", "/q/" + job_id(i), body_of_job()));
	sleep_until(3200);
	daemons[0]->signal(SIGSTOP);
	sleep_until(5400);
	daemons[0]->signal(SIGCONT);
	for (RawCaller &c : callers) {
		tally.note(c.receive(), c, "POST");
		EXPECT_EQ(c.status, 504);
	}
	expect_exit_in_time(0);
	expect_nothing_cut();
}

TEST_F(Drain, FurtherSignalsChangeNothing)
{
	start_daemons(1);
	RawCaller caller(daemons[0]->callers);
	ASSERT_TRUE(caller.connect());
	terminate(0);
	for (int number : {SIGTERM, SIGINT, SIGHUP, SIGTERM}) {
		usleep(300000);
		daemons[0]->signal(number);
	}
	sleep_until(2300);
	tally.note(caller.request("GET", "/q/"), caller, "GET");
	EXPECT_EQ(caller.status, 200);
	expect_exit_in_time(0);
	expect_nothing_cut();
}

/* Its first part is no request yet, so nothing counts it. */
TEST_F(Drain, RequestWhoseHeaderIsHalfReadIsAnswered)
{
	start_daemons(1);
	RawCaller caller(daemons[0]->callers);
	ASSERT_EQ(caller.request("GET", "/q/"), End::ANSWERED);
	terminate(0);
	sleep_until(2400);
	ASSERT_TRUE(caller.send_text("GET /q/ HTTP/1.1\r\nHost: "));
	sleep_until(2700);
	ASSERT_TRUE(caller.send_text("cell.example\r\n\r\n"));
	tally.note(caller.receive(), caller, "GET");
	expect_exit_in_time(0);
	expect_nothing_cut();
}

class DrainOfAFullServer : public Drain
{
      protected:
	DrainOfAFullServer()
	{
		settings = "connections = 8\n";
	}
};

/* They wait in the listen queue for those that are idle. */
TEST_F(DrainOfAFullServer, RequestsThatWaitForAConnectionAreAnswered)
{
	std::deque<RawCaller> idle;
	std::deque<RawCaller> callers;

	start_daemons(1);
	for (int i = 0; i < 8; i++) {
		idle.emplace_back(daemons[0]->callers);
		ASSERT_EQ(idle.back().request("GET", "/q/"), End::ANSWERED);
	}
	for (int i = 0; i < 8; i++)
		callers.emplace_back(daemons[0]->callers);
	terminate(0);
	sleep_until(1000);
	for (RawCaller &c : callers) {
		ASSERT_TRUE(c.connect());
		ASSERT_TRUE(c.send("GET", "/q/"));
	}
	for (RawCaller &c : callers)
		tally.note(c.receive(), c, "GET");
	expect_exit_in_time(0);
	expect_nothing_cut();
}

/* What the store does with calls from the SIGTERM on. */
class DrainWithoutStore : public Drain,
			  public testing::WithParamInterface<const char *>
{
};

TEST_P(DrainWithoutStore, WhatStillWaitsIsAnsweredBeforeTheExit)
{
	/* The jobs of the last are stored. */
	static const char *const methods[] = {
	    "POST", "GET", "DELETE", "DELETE"};
	/* Long before the exit, and when the store still counts as present. */
	static const int times_ms[] = {500, 2000, 2300, 2600, 2900, 4900};
	std::deque<RawCaller> callers;
	std::vector<std::string> refused;

	start_daemons(2);
	for (int i = 3; i < 24; i += 4)
		EXPECT_EQ(submit(0, i, 1, 20000).status, 200);
	for (int i = 0; i < 24; i++) {
		callers.emplace_back(daemons[0]->callers);
		callers[(size_t)i].more_headers =
		    "X-Curranttack-Deadline-Remaining: 9000\r\n";
		ASSERT_TRUE(callers[(size_t)i].connect());
	}
	inject_fault(GetParam());
	terminate(0);
	for (int i = 0; i < 24; i++) {
		sleep_until(times_ms[i / 4]);
		EXPECT_TRUE(callers[(size_t)i].send(methods[i % 4],
		    "/q/" + job_id(i), i % 4 == 0 ? body_of_job() : ""))
		    << i;
	}
	for (int i = 0; i < 24; i++) {
		RawCaller &c = callers[(size_t)i];

		tally.note(c.receive(), c, methods[i % 4]);
		EXPECT_EQ(c.status == 503, c.has_header("Retry-After"));
		if (i % 4 == 0 && c.status == 503)
			refused.push_back(job_id(i));
	}
	expect_exit_in_time(0);
	EXPECT_EQ(tally.count(End::ANSWERED), 24);
	expect_nothing_cut();
	http("POST", control + "/_clear");
	/* What was held back has been carried out by then. */
	usleep(4000000);
	for (const std::string &id : refused)
		EXPECT_EQ(call("GET", 1, "/q/" + id).status, 410) << id;
}

INSTANTIATE_TEST_SUITE_P(Store, DrainWithoutStore,
    testing::Values("{\"target\":\"store\",\"path\":\"\",\"kind\":\"down\","
		    "\"for_ms\":9000}",
	"{\"target\":\"store\",\"path\":\"kv-txn\",\"kind\":\"down\","
	"\"for_ms\":9000}",
	"{\"target\":\"store\",\"path\":\"kv-txn\",\"kind\":\"late\","
	"\"for_ms\":9000,\"delay_ms\":1500}",
	"{\"target\":\"store\",\"path\":\"kv-txn\",\"kind\":\"lost\","
	"\"for_ms\":9000}"));

/* The server that is asked: its address, and a path of it. */
struct Server {
	const char *name;
	std::string CellDaemon::*address;
	const char *path;
};

void
PrintTo(const Server &s, std::ostream *out)
{
	*out << s.name;
}

class DrainOfServer : public Drain, public testing::WithParamInterface<Server>
{
      protected:
	/* The daemon is frozen while the requests arrive at its sockets. */
	void
	send_in_the_last_moments(std::deque<RawCaller> &callers, bool kept)
	{
		for (RawCaller &c : callers) {
			if (kept) {
				ASSERT_TRUE(c.connect());
			}
		}
		terminate(0);
		sleep_until(2400);
		daemons[0]->signal(SIGSTOP);
		sleep_until(2700);
		for (RawCaller &c : callers) {
			if (!kept) {
				ASSERT_TRUE(c.connect());
			}
			ASSERT_TRUE(c.send("GET", GetParam().path));
		}
		daemons[0]->signal(SIGCONT);
		for (RawCaller &c : callers)
			tally.note(c.receive(), c, GetParam().name);
		expect_exit_in_time(0);
		expect_nothing_cut();
	}
};

TEST_P(DrainOfServer, ConnectionThatWaitsToBeAcceptedIsServed)
{
	std::deque<RawCaller> callers;

	start_daemons(1);
	for (int i = 0; i < kCallers; i++)
		callers.emplace_back(*daemons[0].*GetParam().address);
	send_in_the_last_moments(callers, false);
}

TEST_P(DrainOfServer, RequestThatHasArrivedOnAKeptConnectionIsAnswered)
{
	std::deque<RawCaller> callers;

	start_daemons(1);
	for (int i = 0; i < kCallers; i++)
		callers.emplace_back(*daemons[0].*GetParam().address);
	send_in_the_last_moments(callers, true);
}

TEST_P(DrainOfServer, CallersThatGoOnAreAnsweredUntilTheyAreRefused)
{
	std::vector<std::thread> threads;
	std::atomic<bool> over{false};

	start_daemons(1);
	for (int t = 0; t < kCallers; t++) {
		threads.emplace_back([&] {
			RawCaller caller(*daemons[0].*GetParam().address);

			while (!over)
				tally.note(
				    caller.request("GET", GetParam().path),
				    caller, GetParam().name);
		});
	}
	usleep(300000);
	terminate(0);
	expect_exit_in_time(0);
	over = true;
	for (std::thread &t : threads)
		t.join();
	EXPECT_GT(tally.count(End::NOT_SENT), 0);
	expect_nothing_cut();
}

TEST_P(DrainOfServer, AnswersAskToCloseTheConnection)
{
	start_daemons(1);
	RawCaller caller(*daemons[0].*GetParam().address);
	ASSERT_EQ(caller.request("GET", GetParam().path), End::ANSWERED);
	EXPECT_TRUE(caller.is_open());
	terminate(0);
	usleep(200000);
	EXPECT_EQ(caller.request("GET", GetParam().path), End::ANSWERED);
	EXPECT_TRUE(caller.has_header("Connection: close"));
	expect_exit_in_time(0);
}

TEST_P(DrainOfServer, RequestThatIsHalfReadIsAnswered)
{
	start_daemons(1);
	RawCaller caller(*daemons[0].*GetParam().address);
	std::string path = GetParam().path;
	ASSERT_TRUE(caller.connect());
	terminate(0);
	sleep_until(2300);
	ASSERT_TRUE(caller.send_text("GET " + path +
	    " HTTP/1.1\r\nHost: cell.example\r\nContent-Length: 5\r\n\r\n"));
	sleep_until(2800);
	ASSERT_TRUE(caller.send_text("12345"));
	tally.note(caller.receive(), caller, GetParam().name);
	expect_exit_in_time(0);
	expect_nothing_cut();
}

INSTANTIATE_TEST_SUITE_P(Servers, DrainOfServer,
    testing::Values(Server{"callers", &CellDaemon::callers, "/q/"},
	Server{"readiness", &CellDaemon::ready, "/curranttack/readiness"},
	Server{"metrics", &CellDaemon::metrics, "/metrics"}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
