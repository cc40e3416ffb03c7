#ifndef TESTS_UNIT_SIM_CELL_H
#define TESTS_UNIT_SIM_CELL_H

/*
 * Daemons of a cell in one process and on a simulated clock. The code of the
 * daemons is the real one, from cell_run() on; the loop, the links between
 * daemons, the HTTP server, the key space and the workers are simulated here.
 * Everything is decided by the seed.
 */

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "life_clocks.h"
#include "sim_cancelled.h"

extern "C" {
#include "common/clock.h"
#include "curranttackd/cell.h"
#include "platform/platform.h"
}

constexpr int64_t kSimMs = CLK_US_PER_MS;
constexpr int64_t kSimS = CLK_US_PER_S;

class SimWorld;

/* What the store does with calls, until a time. */
enum class StoreTrouble {
	kSilent, /* not done, no answer */
	kBusy,	 /* refused */
	kLost,	 /* writes are done, and not answered */
	kLate,	 /* writes are done seconds later, and not answered */
	kSlow,	 /* each call takes long */
	kHung,	 /* open watches are not answered, other calls are */
	kNarrow, /* watches' answers with many changes don't arrive in time */
};

/* On which way a connection that falls silent loses what is sent. */
enum class SimWay {
	kThere, /* from the side that opened it */
	kBack,
	kBoth,
};

struct SimItem {
	std::string key;
	std::string value;
	uint64_t revision = 0;
	uint64_t created = 0;
	uint64_t lease = 0;
	bool deleted = false;
};

struct SimResponse {
	enum ks_result result = KS_OK;
	uint64_t revision = 0;
	std::vector<SimItem> items;
	bool more = false;
	uint64_t lease = 0;
};

struct SimTxn {
	std::vector<std::pair<std::string, uint64_t>> expect;
	std::vector<SimItem> put;
	std::vector<std::string> remove;
};

/* The platform's store, by its published contract. */
class SimStore
{
      public:
	explicit SimStore(SimWorld *world) : w(world)
	{
	}

	SimResponse range(const std::string &prefix, const std::string &after);
	SimResponse txn(const SimTxn &t);
	SimResponse grant(uint32_t ttl_ms);
	SimResponse renew(uint64_t lease);
	SimResponse end(uint64_t lease);
	void put(const std::string &key, const std::string &value);
	void remove(const std::string &key);
	std::vector<SimItem> changes(
	    const std::string &prefix, uint64_t after) const;
	void expire();
	void compact();
	bool has_history(uint64_t after) const;

	uint64_t revision = 1;
	bool leases_paused = false;

      private:
	struct Lease {
		int64_t ttl_us;
		int64_t expires_us;
	};

	void write(const SimItem &item);
	void erase(const std::string &key);

	SimWorld *w;
	std::map<std::string, SimItem> items;
	std::vector<SimItem> history;
	std::map<uint64_t, Lease> leases;
	uint64_t compacted = 0;
	uint64_t next_lease = 1;
	int64_t checked_us = 0;
};

struct SimRun {
	uint32_t run = 0;
	int64_t begun_us = 0;
	int64_t ends_us = 0;
	int64_t stops_us = 0;
	uint32_t cpu = 0;
	bool late = false; /* by a call that was carried out late */
};

struct SimEnd {
	uint64_t number = 0;
	struct jb_ref ref = {};
	uint32_t run = 0;
	enum wp_run_outcome outcome = WP_END_DONE;
};

/* A call that has reached no life of its worker. */
struct SimRetry {
	int64_t sent_us;
	std::function<void()> carry_out;
};

/* A renewal at a worker; its client sends it again if the process ends. */
struct SimWaiting {
	std::function<void()> answer;
	std::function<void()> send_again;
};

struct SimWorker {
	std::string id;
	std::string vm;
	std::string domain;
	bool alive = true;
	uint32_t life = 1;
	int64_t born_us = 0;
	int64_t clock_began_ms = 1; /* its clock at that time */
	int64_t seen_us = 0;	    /* by the store */
	uint64_t token = 0;
	int64_t lease_until_us = 0;
	uint64_t next_end = 0;
	std::map<std::string, SimRun> running; /* by task */
	std::map<std::string, struct jb_ref> refs;
	std::map<std::string, uint32_t> barred;
	std::vector<SimEnd> ends;
	std::vector<SimWaiting> waiting;
	std::vector<SimRetry> retries;
};

/* A connection to a host, in use for one call. */
struct SimConnection {
	bool silent_there = false;
	bool silent_back = false;
	uint32_t there = 0; /* how often such fell silent before */
	uint32_t back = 0;
};

struct SimDaemon {
	size_t index = 0;
	std::string vm;
	std::string domain;
	uint32_t cpu_mcpu = 1000;
	uint64_t life = 0;
	bool up = false;
	bool powered = true;
	int64_t frozen_until_us = 0;
	int64_t trouble_us = 0; /* until when it was disrupted at last */
	struct cell_settings settings = {};
	struct cell *cell = nullptr;
	hs_handler_fn handler = nullptr;
	void *handler_arg = nullptr;
	struct peer_net *net = nullptr;
	std::string listening;
	std::function<void()> on_sigterm;
	struct fl_fleet fleet = {};
	std::map<StoreTrouble, int64_t> store; /* trouble of its own calls */
	int64_t narrow_until_us = 0; /* its link, for pages of the store */
	/* How often its open connections fell silent, by way. */
	uint32_t silences_there = 0;
	uint32_t silences_back = 0;
	/* Hosts that it keeps idle connections to; those that are silent. */
	std::set<std::string> called;
	std::map<std::string, std::vector<SimWay>> silent;
	/* Until when the advice service is busy with its requests. */
	int64_t advice_until_us = 0;
};

/* What a caller gets: a status, or 0 without an answer. */
using SimReply = std::function<void(int status, const std::string &body)>;

/* What is seen from outside the daemons. */
struct SimObserver {
	virtual ~SimObserver() = default;
	virtual void on_start(const SimDaemon &d, const SimWorker &w,
	    const std::string &task, uint32_t run) = 0;
	virtual void on_end(const SimWorker &w, const std::string &task,
	    uint32_t run, enum wp_run_outcome outcome) = 0;
	virtual void on_noted(const std::string &task, uint32_t run,
	    enum wp_run_outcome outcome) = 0;
	/* A run of a cancelled job that goes on; a failure by itself. */
	virtual void on_unasked(const std::string &text);
};

/* What differs from the usual cell. */
struct SimOptions {
	std::vector<uint32_t> cpu_mcpu; /* by daemon */
	uint32_t relay_above_workers = 1000;
	/* In a larger cell, only owners follow the workers' entries. */
	uint32_t small_cell_daemons = 16;
	int64_t keep_ended_us = 120 * kSimS;
	std::set<size_t> older; /* daemons of a build without heartbeats */
	/* Starts need tickets, and the service takes its time. */
	bool slow_advice = false;
};

/* Shares of the calls to workers that meet this, until a time. */
struct SimCallTrouble {
	uint32_t lost_per_mille = 0;	   /* not carried out */
	uint32_t unanswered_per_mille = 0; /* carried out */
	int64_t until_us = 0;
};

class SimWorld
{
      public:
	SimWorld(uint64_t seed, size_t daemon_count, size_t worker_count,
	    SimObserver *observer, const SimOptions &options = {});
	~SimWorld();

	/* Of the time of day of all daemons. */
	int64_t wall_step_us = 0;

	/* How late a call to a worker is; 0 if it is prompt. */
	int64_t lateness_us(uint32_t per_mille);
	/* While it is down, at the next life, once that is back for a while. */
	void arrive(
	    SimWorker &w, int64_t sent_us, std::function<void()> carry_out);
	void run_until(int64_t us);
	void after(int64_t us, std::function<void()> action);
	/* Dropped when that life of the daemon ends, held while it is frozen. */
	void after_in(uint64_t life, int64_t us, std::function<void()> action);
	uint64_t random(uint64_t below);
	bool chance(uint32_t percent);

	void start(size_t daemon);
	/* By a signal: its connections are reset. Without power, they hang. */
	void kill(size_t daemon, bool power);
	/* It hands its pools over, and ends by itself. */
	void terminate(size_t daemon);
	void freeze(size_t daemon, int64_t us);
	void crash(size_t worker);
	void revive(size_t worker);
	/* By its own fault, if there is one. */
	void fail_a_run(size_t worker);
	/* Another one begins on its VM, last in @workers. */
	void begin_on_vm_of(size_t worker);
	void cut_domain(const std::string &domain, int64_t us);
	/*
	 * All open connections of a daemon fall silent for good: nothing closes
	 * them, and what is opened later works.
	 */
	void sever(size_t daemon, SimWay way);
	/* The same of a share of the links between daemons. */
	void sever_links(uint32_t percent, SimWay way);
	/* What one sends to the other is lost. */
	void cut_path(
	    const std::string &from, const std::string &to, int64_t us);
	void call_trouble(const SimCallTrouble &trouble);
	bool loses_call();
	bool loses_answer();
	void store_trouble(StoreTrouble kind, int64_t us);
	void store_trouble_of(size_t daemon, StoreTrouble kind, int64_t us);
	void compact();
	void heal();

	void call(size_t daemon, const std::string &method,
	    const std::string &path, const std::string &body, int64_t wait_us,
	    SimReply reply);

	bool store_has(size_t daemon, StoreTrouble kind) const;
	bool reaches_store(const std::string &domain) const;
	bool reaches(const std::string &from, const std::string &to) const;
	bool is_in_touch(const SimDaemon &d) const;
	SimDaemon *daemon_of(uint64_t life);

	int64_t now = 1000 * kSimS;
	SimOptions options;
	SimCancelled cancelled;
	uint64_t booting = 0;
	SimStore store;
	std::vector<std::unique_ptr<SimDaemon>> daemons;
	std::vector<std::unique_ptr<SimWorker>> workers;
	SimObserver *seen;
	bool verbose = false;
	const SimDaemon *acting = nullptr; /* for the log */
	/* Links that a daemon took for silent. */
	uint64_t silent_links_closed = 0;
	/* Calls to workers that are carried out late, and not answered. */
	uint32_t late_per_mille = 0;
	uint32_t late_renewals_per_mille = 0;

      private:
	struct Event {
		int64_t at;
		uint64_t seq;
		uint64_t life; /* 0: not of a daemon */
		std::function<void()> action;
	};
	struct Later {
		bool
		operator()(const Event &a, const Event &b) const
		{
			return a.at != b.at ? a.at > b.at : a.seq > b.seq;
		}
	};

	void tick();
	void tick_worker(SimWorker &w);
	void reconnect(SimWorker &w);
	void mark_store_trouble(int64_t us);

	std::mt19937_64 rng;
	LifeClocks clocks;
	std::mt19937_64 late_rng;
	std::priority_queue<Event, std::vector<Event>, Later> events;
	uint64_t next_event = 1;
	uint64_t next_life = 1;
	std::map<StoreTrouble, int64_t> troubles;
	std::map<std::string, int64_t> cut_domains;
	std::map<std::pair<std::string, std::string>, int64_t> cut_paths;
	SimCallTrouble calls;
	int64_t store_trouble_us = 0;
};

/* The world whose daemons run; there is one at a time. */
extern SimWorld *sim_world;

std::string sim_task_name(const struct jb_ref &ref);

#endif
