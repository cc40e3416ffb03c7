#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <random>
#include <thread>

#include "../fault/cell_daemon.h"
#include "seeds.h"

/*
 * The programs of a cell as separate processes under a seeded schedule of
 * faults from outside: signals, links that are cut or fall silent, a store that
 * loses, delays and refuses, workers that vanish and are born anew, orders that
 * are carried out late, that shrink and grow, connections that are cut without a
 * response. It checks what callers and workers see.
 *
 * SOAK_SEEDS="FIRST-LAST" plays other seeds than the fixed ones, SOAK_SECONDS
 * sets how long the faults of each last, SOAK_DAEMONS how many daemons there are.
 */

namespace
{

constexpr uint32_t kWorkers = 8;
constexpr int kCores = 4;
constexpr const char *kHost = "cell.example";
constexpr int64_t kSettleMs = 45000;
constexpr int64_t kStaleMs = 4000;
/* Far less than the workers can do, so that what is late is stuck. */
constexpr size_t kJobs = 120;
constexpr useconds_t kPauseUs = 25000;
/* Of those that don't wait for each other. */
constexpr unsigned kCallers = 6;
constexpr useconds_t kCallerPauseUs = 150000;
/* What the store or a worker held back has been carried out by then. */
constexpr int64_t kHeldBackMs = 4500;

int64_t
now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

int
draw_below(std::mt19937 &random, int n)
{
	return (int)(random() % (unsigned)n);
}

/* What callers know of a job. */
struct Sent {
	std::string id;
	std::string body;
	bool fails = false;
	bool sent_once = false; /* whatever the response was */
	bool crashes = false;	/* each worker that starts a task of it */
	bool accepted = false;
	bool cancelled = false;
	bool maybe = false; /* some try had no clear answer */
	bool refused = false;
	bool
	was_refused() const
	{
		return refused && !accepted && !maybe;
	}

	std::string shown; /* final state that some daemon has told */
	int64_t ended_ms = 0;
};

/* A daemon, its way to the store, and when what ails it is over. */
struct Node {
	std::unique_ptr<CellDaemon> daemon;
	std::unique_ptr<Process> relay;
	bool paused = false;
	int64_t heal_ms = 0;
};

/*
 * Hands in jobs, asks for them and cancels some, and notes what it was told.
 * Callers with a number above 0 keep their connections.
 */
class Caller
{
      public:
	Caller(std::mt19937 &random, unsigned seed, unsigned number)
	    : random(random), seed(seed), number(number),
	      keeps_connections(number > 0)
	{
	}

	void
	add_daemon(const std::string &address)
	{
		daemons.push_back(address);
		clients.emplace_back();
	}

	int
	below(int n)
	{
		return draw_below(random, n);
	}

	Response
	call(const std::string &method, const std::string &id,
	    const std::string &body = "")
	{
		size_t i = (size_t)below((int)daemons.size());
		std::string url = "http://" + daemons[i] + "/q/" + id;
		std::string host = std::string("Host: ") + kHost;

		if (!keeps_connections)
			return http(method, url, body, {host}, 1500);
		return clients[i].request(method, url, body,
		    {host, "X-Curranttack-Deadline-Remaining: 1500"}, 1500);
	}

	void
	note(Sent &s, const Response &r)
	{
		if (r.status == 200)
			s.accepted = true;
		else if (r.status == 503 || r.status == 429 ||
		    r.status == 404 || r.status == 410)
			s.refused = true;
		else
			s.maybe = true;
	}

	void
	submit_new()
	{
		char id[32];
		Sent s;
		int tasks = 1 + below(4);
		int steps = 1 + below(2);

		snprintf(
		    id, sizeof(id), "%08x%02x%06zx", seed, number, jobs.size());
		s.id = id;
		s.sent_once = keeps_connections && below(2) == 0;
		s.fails = below(20) == 0;
		s.crashes = has_crashing_jobs && !s.fails && below(12) == 0;
		s.body = "{\"spec\":\"" + std::to_string(50 + below(900)) +
		    " 1000" + (s.fails ? " fail" : "") +
		    (s.crashes ? " crash" : "") + "\",\"steps\":[";
		for (int i = 0; i < steps; i++)
			s.body += std::string(i > 0 ? "," : "") +
			    "{\"count\":" + std::to_string(tasks) +
			    ",\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":400" +
			    (i > 0 ? ",\"after\":[0]" : "") + "}";
		s.body += "]}";
		note(s, call("POST", s.id, s.body));
		jobs.push_back(s);
	}

	static bool
	is_final(const std::string &state)
	{
		return state == "completed" || state == "failed" ||
		    state == "cancelled";
	}

	/*
	 * One final state a job. A daemon that the store does not answer may
	 * not know of it for three seconds, and then has to say so.
	 */
	void
	look_up(Sent &s)
	{
		int64_t asked_ms = now_ms();
		Response r = call("GET", s.id);
		std::string state = r.text("state");

		if (s.accepted) {
			EXPECT_NE(r.status, 410) << s.id;
		}
		if (r.status != 200)
			return;
		if (is_final(s.shown) &&
		    (is_final(state) || asked_ms > s.ended_ms + kStaleMs)) {
			EXPECT_EQ(state, s.shown) << s.id;
		}
		if (is_final(state) && !is_final(s.shown)) {
			s.shown = state;
			s.ended_ms = now_ms();
		}
	}

	void
	play()
	{
		Sent *s = jobs.empty() ? nullptr
				       : &jobs[(size_t)below((int)jobs.size())];
		int choice = below(10);

		if (s == nullptr || (choice < 4 && jobs.size() < kJobs))
			submit_new();
		else if (choice < 7 && !s->accepted && !s->sent_once)
			note(*s, call("POST", s->id, s->body));
		else if (choice == 7 && s->accepted && below(4) == 0) {
			s->cancelled = true;
			call("DELETE", s->id);
		} else
			look_up(*s);
	}

	bool has_crashing_jobs = false;
	std::vector<Sent> jobs;

      private:
	std::mt19937 &random;
	unsigned seed;
	unsigned number;
	bool keeps_connections;
	std::vector<std::string> daemons;
	std::deque<KeptClient> clients;
};

class Soak : public testing::TestWithParam<int>
{
      protected:
	void
	SetUp() override
	{
		char name[] = "/tmp/currant-soak-XXXXXX";

		random.seed((unsigned)GetParam());
		caller =
		    std::make_unique<Caller>(random, (unsigned)GetParam(), 0);
		sizes.seed((unsigned)GetParam());
		dir = mkdtemp(name);
		platform =
		    std::make_unique<Process>("tests/standins/standin-platform",
			std::vector<std::string>{std::to_string(kWorkers),
			    std::to_string(1000 * kCores),
			    std::to_string(has_doors ? daemon_count() : 0),
			    std::to_string(text_bytes_of(GetParam()))},
			dir + "/platform.log");
		control = "http://" + platform->addresses[2];
		for (int i = 0; i < daemon_count(); i++)
			add_node(i);
		configure();
		for (Node &n : nodes)
			ASSERT_TRUE(
			    eventually([&] { return n.daemon->is_ready(); }));
	}

	void
	TearDown() override
	{
		if (HasFailure())
			std::cerr << "seed " << GetParam() << ": logs are in "
				  << dir << "\n";
	}

	static int
	daemon_count()
	{
		return number_from("SOAK_DAEMONS", 4);
	}

	void
	add_node(int i)
	{
		Node n;

		n.relay =
		    std::make_unique<Process>("tests/standins/standin-relay",
			std::vector<std::string>{}, dir + "/relay.log");
		http("POST",
		    "http://" + n.relay->addresses[1] + "/_target?address=" +
			platform->addresses[has_doors ? 4 + (size_t)i : 0]);
		/* Every other seed plays the ways of a large cell. */
		std::string large_cell = GetParam() % 2 == 1
		    ? "relay_above = 0\nsmall_cell = 0\n"
		    : "";

		n.daemon =
		    std::make_unique<CellDaemon>(dir, "vm-" + std::to_string(i),
			n.relay->addresses[0], platform->addresses[1], "120s",
			platform->addresses[3], large_cell);
		n.daemon->start();
		caller->add_daemon(n.daemon->callers);
		nodes.push_back(std::move(n));
	}

	int
	below(int n)
	{
		return draw_below(random, n);
	}

	void
	configure()
	{
		std::string service = "batch";

		service.resize(
		    std::max(service.size(), text_bytes_of(GetParam())), 'x');
		http("POST", control + "/_config",
		    "{\"version\":" + std::to_string(++version) +
			",\"routes\":[{\"name\":\"q\",\"host\":\"" + kHost +
			"\",\"prefix\":\"/q/\",\"service\":\"" + service +
			"\",\"max_attempts\":3,\"stretch_factor\":4.0,"
			"\"target_latency_ms\":1000}],"
			"\"services\":[{\"name\":\"" +
			service + "\"}],\"limits\":{}}");
	}

	void
	heal(Node &n)
	{
		std::string relay = "http://" + n.relay->addresses[1];

		if (n.paused)
			n.daemon->signal(SIGCONT);
		n.paused = false;
		if (n.daemon->pid <= 0)
			n.daemon->start();
		http("POST", relay + "/_cut?on=0");
		http("POST", relay + "/_silence?ways=0");
		n.heal_ms = 0;
	}

	void
	ail_node(Node &n)
	{
		std::string relay = "http://" + n.relay->addresses[1];

		n.heal_ms = now_ms() + 200 + below(4000);
		switch (below(5)) {
		case 0:
			n.daemon->end(SIGKILL);
			break;
		case 1:
			n.daemon->end(SIGTERM);
			break;
		case 2:
			n.daemon->signal(SIGSTOP);
			n.paused = true;
			break;
		case 3:
			http("POST", relay + "/_cut?on=1");
			break;
		default:
			http("POST",
			    relay + "/_silence?ways=" +
				std::to_string(1 + below(3)));
			break;
		}
	}

	void
	ail_platform()
	{
		static const char *const kinds[] = {
		    "down", "lost", "late", "refuse"};
		std::string worker = std::to_string(below(kWorkers));
		bool off = below(2) == 0;

		switch (below(5)) {
		case 0:
		case 1:
			http("POST", control + "/_fault",
			    "{\"target\":\"store\",\"path\":\"kv-txn\","
			    "\"kind\":\"" +
				std::string(kinds[below(4)]) +
				"\",\"delay_ms\":" +
				std::to_string(200 + below(3000)) +
				",\"for_ms\":" + std::to_string(below(1500)) +
				",\"count\":" + std::to_string(1 + below(5)) +
				"}");
			break;
		case 2:
			http("POST", control + "/_fault",
			    "{\"target\":\"w-" + worker +
				"\",\"path\":\"run-start\",\"kind\":\"late\","
				"\"count\":3,\"delay_ms\":" +
				std::to_string(300 + below(4000)) + "}");
			break;
		case 3:
			http("POST", control + "/_worker",
			    "{\"worker\":" + worker +
				",\"off\":" + (off ? "true" : "false") +
				(below(3) == 0 ? ",\"reborn\":true}" : "}"));
			break;
		default:
			http("POST", control + "/_forget", "");
			configure();
			break;
		}
	}

	void
	resize(uint32_t worker, int cores, bool reborn)
	{
		http("POST", control + "/_size",
		    "{\"worker\":" + std::to_string(worker) +
			",\"cpu\":" + std::to_string(1000 * cores) +
			",\"reborn\":" + (reborn ? "true}" : "false}"));
	}

	void
	play_sizes()
	{
		uint32_t worker = (uint32_t)sizes() % kWorkers;
		int cores = (int)(sizes() % (kCores + 1));
		unsigned choice = (unsigned)sizes() % 40;

		if (now_ms() < next_size_ms)
			return;
		next_size_ms = now_ms() + 50 + (int64_t)(sizes() % 400);
		if (choice == 0)
			http("POST", control + "/_fault",
			    "{\"target\":\"store\",\"path\":\"\","
			    "\"kind\":\"down\",\"for_ms\":" +
				std::to_string(1000 + sizes() % 6000) + "}");
		else if (choice < 4)
			resize(worker, cores, true);
		else if (choice < 10)
			http("POST", control + "/_worker",
			    "{\"worker\":" + std::to_string(worker) +
				",\"off\":false,\"mute\":" +
				(choice < 7 ? "true}" : "false}"));
		else
			resize(worker, cores, false);
	}

	virtual void
	play_faults()
	{
		Node &n = nodes[(size_t)below((int)nodes.size())];

		for (Node &other : nodes) {
			if (other.heal_ms != 0 && now_ms() > other.heal_ms)
				heal(other);
		}
		if (now_ms() < next_fault_ms)
			return;
		next_fault_ms = now_ms() + 100 + below(fault_pause_ms);
		if (below(2) == 0)
			ail_platform();
		else if (n.heal_ms == 0)
			ail_node(n);
	}

	void
	heal_all()
	{
		http("POST", control + "/_clear", "");
		for (uint32_t i = 0; i < kWorkers; i++) {
			http("POST", control + "/_worker",
			    "{\"worker\":" + std::to_string(i) +
				",\"off\":false}");
			resize(i, kCores, false);
		}
		for (Node &n : nodes)
			heal(n);
		healed_ms = now_ms();
	}

	int64_t
	seen(const char *field)
	{
		return http("GET", control + "/_report").number(field);
	}

	int64_t
	starts_of(const Sent &s)
	{
		return http("GET", control + "/_job?job=" + s.id)
		    .number("started");
	}

	int64_t
	crashes_under(const Sent &s)
	{
		return http("GET", control + "/_job?job=" + s.id)
		    .number("crashed");
	}

	void
	check_end(const Sent &s)
	{
		std::string state;
		bool done = eventually(
		    [&] {
			    state = caller->call("GET", s.id).text("state");
			    return Caller::is_final(state);
		    },
		    kSettleMs);

		EXPECT_TRUE(done) << s.id << " is '" << state << "'";
		/* A task under which two workers have crashed may be given up. */
		if (state == "failed" && !s.fails) {
			EXPECT_GE(crashes_under(s), 2) << s.id;
		}
		if (state == "cancelled") {
			EXPECT_TRUE(s.cancelled) << s.id;
		}
		if (state == "completed") {
			EXPECT_FALSE(s.fails || s.crashes) << s.id;
		}
	}

	virtual void
	play(int64_t until_ms)
	{
		while (now_ms() < until_ms && !HasFailure()) {
			caller->play();
			play_faults();
			usleep(kPauseUs);
		}
	}

	/* Plays callers and faults, then checks what became of each job. */
	void
	play_and_check()
	{
		uint32_t accepted = 0;
		uint32_t refused = 0;

		play(now_ms() + 1000 * number_from("SOAK_SECONDS", 12));
		heal_all();
		for (const Sent &s : caller->jobs) {
			accepted += s.accepted;
			refused += s.was_refused();
			if (s.accepted)
				check_end(s);
		}
		while (now_ms() < healed_ms + kHeldBackMs)
			usleep(kPauseUs);
		for (const Sent &s : caller->jobs) {
			if (s.was_refused()) {
				EXPECT_EQ(starts_of(s), 0)
				    << s.id << " was refused";
			}
		}
		EXPECT_EQ(seen("twice"), 0);
		EXPECT_EQ(seen("again"), 0);
		EXPECT_EQ(seen("over"), 0);
		EXPECT_EQ(seen("budget"), 0);
		EXPECT_GT(accepted, 0U);
		std::cout << "seed " << GetParam() << ": "
			  << caller->jobs.size() << " jobs, " << accepted
			  << " accepted, " << refused << " refused, "
			  << seen("started") << " starts\n";
	}

	int fault_pause_ms = 900;
	bool has_doors = false; /* an address of the store for each daemon */
	std::mt19937 random;
	std::mt19937 sizes; /* so that the other seeds keep their schedules */
	std::string dir;
	std::unique_ptr<Process> platform;
	std::string control;
	std::vector<Node> nodes;
	std::unique_ptr<Caller> caller;
	int version = 0;
	int64_t next_fault_ms = 0;
	int64_t healed_ms = 0;
	int64_t next_size_ms = 0;
};

TEST_P(Soak, PromisesHold)
{
	play_and_check();
}

/* Some tasks crash each worker that starts them. */
class SoakOfCrashes : public Soak
{
};

TEST_P(SoakOfCrashes, PromisesHold)
{
	caller->has_crashing_jobs = true;
	play_and_check();
}

/*
 * Store and workers cut connections without a response, whether or not they have
 * carried out what they read, and reject what follows; the store rejects daemons
 * one by one. Callers keep their connections.
 */
class SoakOfCuts : public Soak
{
      protected:
	SoakOfCuts()
	{
		has_doors = true;
		fault_pause_ms = 2500;
	}

	/* Callers don't wait for each other, nor for the faults. */
	void
	play(int64_t until_ms) override
	{
		std::vector<std::thread> threads;
		std::deque<std::mt19937> randoms;
		std::deque<Caller> callers;

		for (unsigned i = 1; i <= kCallers; i++) {
			randoms.emplace_back((unsigned)GetParam() * 100 + i);
			callers.emplace_back(
			    randoms.back(), (unsigned)GetParam(), i);
			for (Node &n : nodes)
				callers.back().add_daemon(n.daemon->callers);
		}
		for (Caller &c : callers)
			threads.emplace_back([&] {
				while (now_ms() < until_ms && !HasFailure()) {
					c.play();
					usleep(kCallerPauseUs);
				}
			});
		while (now_ms() < until_ms && !HasFailure()) {
			play_faults();
			usleep(kPauseUs);
		}
		for (std::thread &t : threads)
			t.join();
		for (Caller &c : callers)
			caller->jobs.insert(
			    caller->jobs.end(), c.jobs.begin(), c.jobs.end());
	}

	void
	play_faults() override
	{
		Soak::play_faults();
		if (now_ms() < next_cut_ms)
			return;
		next_cut_ms = now_ms() + 50 + below(500);
		switch (below(8)) {
		case 0:
		case 1:
			cut_then_reject("store", "kv-txn");
			break;
		case 2:
			cut_then_reject("store", "kv-");
			break;
		case 3:
		case 4:
			cut_then_reject(worker(), "run-start");
			break;
		case 5:
			cut_then_reject(worker(), "");
			break;
		default:
			reject("store-" + std::to_string(below(daemon_count())),
			    "", 200 + below(3500));
			break;
		}
	}

      private:
	/* One, or all of them. */
	std::string
	worker()
	{
		int n = below(kWorkers + 1);

		return n < (int)kWorkers ? "w-" + std::to_string(n) : "w";
	}

	void
	inject(const std::string &target, const std::string &path,
	    const std::string &kind, const std::string &extent)
	{
		http("POST", control + "/_fault",
		    "{\"target\":\"" + target + "\",\"path\":\"" + path +
			"\",\"kind\":\"" + kind + "\"," + extent +
			",\"delay_ms\":" + std::to_string(50 + below(3500)) +
			"}");
	}

	void
	reject(const std::string &target, const std::string &path, int for_ms)
	{
		static const char *const kinds[] = {"refuse", "throttle",
		    "refuse", "throttle", "close_before", "reset_before",
		    "down"};

		inject(target, path, kinds[below(7)],
		    "\"for_ms\":" + std::to_string(for_ms) +
			",\"percent\":" + std::to_string(70 + below(31)));
	}

	void
	cut_then_reject(const std::string &target, const std::string &path)
	{
		static const char *const kinds[] = {"close_before",
		    "reset_before", "close_after", "reset_after", "late_close",
		    "late_reset", "close_after", "reset_after"};

		inject(target, path, kinds[below(8)],
		    "\"count\":" + std::to_string(1 + below(3)));
		if (path == "run-start" && below(3) == 0)
			inject(target, path, "room",
			    "\"count\":" + std::to_string(1 + below(3)));
		if (below(5) > 0)
			reject(target, path, 100 + below(1200));
	}

	int64_t next_cut_ms = 0;
};

TEST_P(SoakOfCuts, PromisesHold)
{
	play_and_check();
}

class SoakOfSizes : public Soak
{
      protected:
	/* More than the workers can do in the time, so that they are full. */
	void
	fill_workers()
	{
		char id[32];

		for (int n = 0; n < 16; n++) {
			snprintf(id, sizeof(id), "%016x", n);
			caller->call("POST", id,
			    "{\"spec\":\"" + std::to_string(300 + below(900)) +
				" 1000\",\"steps\":[{\"count\":32,"
				"\"cpu\":1000,\"mem_mb\":10,"
				"\"estimate_ms\":700}]}");
		}
	}
};

TEST_P(SoakOfSizes, NoWorkerIsOverfilled)
{
	int64_t until_ms = now_ms() + 1000 * number_from("SOAK_SECONDS", 12);

	fill_workers();
	while (now_ms() < until_ms && !HasFailure()) {
		if (below(4) == 0)
			play_faults();
		play_sizes();
		usleep(kPauseUs);
	}
	heal_all();
	EXPECT_TRUE(eventually([&] { return seen("done") > 100; }, kSettleMs));
	EXPECT_EQ(seen("twice"), 0);
	EXPECT_EQ(seen("again"), 0);
	EXPECT_EQ(seen("over"), 0);
	std::cout << "seed " << GetParam() << ": " << seen("started")
		  << " starts\n";
}

/*
 * Seeds that ever failed, with their cause.
 * 1: a daemon without the store showed a state that was no longer true; a late
 *    order outlived its worker (the stand-in's fault).
 * 6: more jobs than the workers could do in the time (the test's fault).
 * 308: a start reached a worker's new life; the owner took its run for ended.
 * 404: a cancelled job whose last task had been done never ended.
 * 309: a renewal acknowledged ends of a new life by numbers of the old one; a
 *    renewal outlived its worker (the stand-in's fault).
 */
std::vector<int>
seeds()
{
	return seeds_or({1, 6, 308, 309, 404});
}

std::vector<int>
size_seeds()
{
	return seeds_or({2, 3});
}

/*
 * Seeds that ever failed, with their cause.
 * 500, 502: crashes that lost owners had not stored were not counted; an owner
 *    that resumed started tasks on workers that had forgotten its successor.
 */
std::vector<int>
crash_seeds()
{
	return seeds_or({500, 502});
}

/*
 * Seeds that ever failed, with their cause.
 * 600, 602, 603: the HTTP client sent a write or a start again by itself when a
 *    kept connection ended; the second copy's 503 was taken as proof that nothing
 *    had been done.
 */
std::vector<int>
cut_seeds()
{
	return seeds_or({600, 602, 603});
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, testing::ValuesIn(seeds()));
INSTANTIATE_TEST_SUITE_P(Seeds, SoakOfCuts, testing::ValuesIn(cut_seeds()));
INSTANTIATE_TEST_SUITE_P(
    Seeds, SoakOfCrashes, testing::ValuesIn(crash_seeds()));
INSTANTIATE_TEST_SUITE_P(Seeds, SoakOfSizes, testing::ValuesIn(size_seeds()));

} // namespace
