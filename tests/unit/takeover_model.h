#ifndef TESTS_UNIT_TAKEOVER_MODEL_H
#define TESTS_UNIT_TAKEOVER_MODEL_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "life_clocks.h"

extern "C" {
#include "common/clock.h"
#include "coordination/witness.h"
#include "protocol/job_codec.h"
#include "state/pool_internal.h"
}

/* One run of a task on a model worker. */
struct ModelRun {
	uint32_t run = 0;
	int64_t ends_us = 0;
	enum wp_run_outcome outcome = WP_END_DONE;
	bool stopping = false;
	int64_t cpu = 0;
	int64_t sent_us = 0;
	bool astray = false; /* its order was sent to an earlier incarnation */
	int64_t unasked_us = 0; /* in calm, though its job is cancelled */
};

struct ModelEnd {
	uint64_t number = 0;
	std::string task;
	uint32_t run = 0;
	enum wp_run_outcome outcome = WP_END_DONE;
};

/* A worker process; it does what the platform's workers are said to do. */
struct ModelWorker {
	std::string id;
	std::string vm;
	int64_t incarnation = 0;
	bool alive = true;
	bool listed = true;
	bool draining = false;
	int64_t silent_until_us = 0;
	bool away = false; /* on the side of an owner that is cut off */
	int64_t unhealthy_until_us = 0; /* it does nothing that it is told */
	int64_t born_us = 0;
	int64_t clock_began_ms = 1; /* its clock at that time */
	int64_t rate_per_mille = 1000;
	std::string kind;
	uint64_t token = 0;
	int64_t lease_end_ms = 0;
	int64_t known_for_us = 0; /* to its owner, as this incarnation */
	int64_t cpu = 4000;
	std::vector<std::pair<int64_t, int64_t>> sizes; /* until, cpu */
	int64_t report_at_us = 0;
	int64_t reported_cpu = 0;
	std::string reported_kind;
	int64_t reported_clock_ms = 0;
	int64_t reported_incarnation = 0;
	uint64_t last_end = 0;
	/* By task and number of the run. */
	std::map<std::pair<std::string, uint32_t>, ModelRun> running;
	std::map<std::string, uint32_t> barred;
	std::vector<ModelEnd> ends;
};

/**
 * struct ModelKnownEnd - the end of a run that completed or failed
 * @noted: it was acknowledged before the worker's lease expired
 * @expired: the lease expired first, so it does not count
 * @started_after: a later run of the task has started
 */
struct ModelKnownEnd {
	std::string worker;
	int64_t incarnation;
	uint64_t number;
	bool noted;
	bool expired;
	bool started_after;
	bool astray; /* as its run; see ModelRun */
};

struct ModelStep {
	uint32_t count;
	uint32_t flags;
	std::vector<uint32_t> after;
	uint32_t max_per_worker = 0;
	std::string label;
};

struct ModelJob {
	std::string id;
	std::vector<ModelStep> steps;
	bool advice = false;
	bool bad = false;   /* its tasks may fail */
	bool saves = false; /* its tasks may be preempted */
	uint32_t priority = 0;
	uint64_t revision = 0;
	bool cancelled = false;
	std::vector<uint8_t> progress;
	enum jb_state state = JB_PENDING;
	int64_t ended_us = 0;
};

struct ModelRegistered {
	std::string id;
	std::string vm;
	int64_t incarnation;
	int64_t lease_left_ms; /* -1 without a mark */
	int64_t late_lease_ms;
	bool closed;
	std::vector<struct jb_ref> tasks;
};

struct ModelCommit {
	uint64_t token;
	uint64_t sequence;
	uint64_t revision; /* once it is applied */
	bool has_registry;
	std::vector<ModelRegistered> registry;
	std::vector<std::string> not_started;
	uint32_t term;
	std::map<std::string, std::pair<enum jb_state, std::vector<uint8_t>>>
	    progress;
};

/* Which incarnation of a worker an owner knows, and since when. */
struct ModelHeard {
	int64_t incarnation = 0;
	int64_t at_us = 0;
};

/* An order under way. */
struct ModelOrder {
	struct wp_order order;
	std::string task;
	uint64_t token;
	int64_t sent_us;
	int64_t incarnation; /* that its owner knew */
};

/* A daemon that is asked by owners. */
struct ModelWitness {
	std::string vm;
	uint64_t incarnation = 1;
	bool alive = true;
	bool away = false;
	int64_t died_us = 0;
	int64_t frozen_until_us = 0;
	int64_t cut_until_us = 0; /* no path to the store */
	int64_t look_at_us = 0;
	int64_t slow_per_mille = 0;
	uint64_t seen_token = 0; /* in its copy of the store; 0: no owner */
	uint64_t entry = 1;	 /* incarnation that its stored entry shows */
	int64_t entry_at_us = 0; /* when it is next written */
	struct wt_memory memory = {};
};

struct ModelOwner {
	int number = 0;
	struct wp_pool *pool = nullptr;
	uint64_t token = 0;
	bool alive = true;
	int64_t frozen_until_us = 0;
	int64_t cut_until_us = 0; /* no path to the store */
	int64_t confirmed_us = 0;
	int64_t renew_at_us = 0;
	int64_t full_pass_at_us = 0;
	int64_t commit_at_us = 0;
	int64_t forget_at_us = 0;
	uint64_t sequence = 0;
	std::shared_ptr<ModelCommit> commit;
	std::vector<std::function<void()>> inbox; /* while it is frozen */
	std::map<std::string, ModelHeard> heard;
	/* Without witnesses, the permit is for the longest time. */
	bool away = false;
	int64_t slow_per_mille = 0;
	uint32_t term = 0;
	struct wt_permit permit = {};
	int64_t ask_at_us = 0;
	int64_t list_at_us = 0;
	uint64_t list = 0;
	struct wt_inquiry inquiry = {};
	bool inquiring = false;
	uint32_t inquiry_term = 0;
	uint64_t inquiry_token = 0;
	int64_t inquire_at_us = 0;
	int64_t earlier_until_us = 0;
	int64_t older_until_us = 0;

	void
	hear(const std::string &id, int64_t incarnation, int64_t now)
	{
		if (heard[id].incarnation != incarnation)
			heard[id] = {incarnation, now};
	}
};

/* A renewal without an answer; when it is overdue, the answer may still come. */
struct ModelRenewal {
	int owner = 0;
	uint64_t token = 0;
	uint64_t fence = 0; /* 0: the token */
	std::string worker;
	bool overdue = false;
	bool ended = false;
};

/* How often things go wrong, in parts of a thousand. */
struct ModelFaults {
	uint32_t lost = 0;
	uint32_t late = 0;
	uint32_t answer_lost = 0;
	uint32_t repeat_refused = 0; /* a start that was sent before */
	uint32_t answer_late = 0;    /* of a renewal */
	uint32_t advice_late = 0;    /* by seconds */
	uint32_t not_sent = 0;	     /* orders, for want of a connection */
	uint32_t result_late = 0;    /* no answer to an order, known late */
	uint32_t stop_undone = 0;    /* accepted, and the run goes on */
};

/**
 * A pool's owners one after the other, their workers and the store, under
 * faults that a seed determines. Records what must never happen.
 */
class TakeoverModel
{
      public:
	explicit TakeoverModel(uint64_t seed);
	~TakeoverModel();

	void add_worker();
	std::string next_worker_id();
	/* Owners have witnesses from now on. */
	void use_witnesses(uint64_t seed);
	void break_witnesses();
	void part(int64_t us);
	void add_job(bool may_be_special = true);
	void cancel_some_job();
	void run_for(int64_t us);
	void break_something();
	void heal(const std::set<std::string> &except);
	void freeze_owner(int64_t us);
	void kill_owner();
	void restart_some_worker();
	void silence_some_worker(int64_t us = 0);
	void sicken_some_worker(int64_t until_us);
	void resize_some_worker();
	ModelOwner *owner();
	uint64_t random(uint64_t below);
	bool is_step_done(const ModelJob &job, uint32_t step, uint32_t index);
	bool chance(uint32_t per_mille);
	bool is_running(const std::string &task);
	bool is_done(const std::string &task);
	bool is_gang(const std::string &task);
	/* Whether an owner can know that it has completed. */
	bool is_visibly_done(const std::string &task);
	/* Runs on workers that respond, and those for which they have room. */
	size_t running_count();
	size_t slot_count();
	bool is_ready(const ModelJob &job, uint32_t step, bool visibly = false);

	static std::string task_name(
	    const std::string &job, uint32_t step, uint32_t index);

	int64_t now = 1000 * CLK_US_PER_S;
	std::vector<std::string> violations;
	/* What no owner could have prevented; see check_start(). */
	std::vector<std::string> unavoidable;
	std::map<std::string, ModelWorker> workers;
	/* Of orders. */
	std::set<std::string> texts;
	std::map<std::string, ModelJob> jobs;
	ModelFaults faults;
	uint32_t speculative = 100; /* steps that allow copies, per mille */
	uint32_t lasting = 60;	    /* jobs that last, per mille */
	/* So many workers crash that tasks are taken for the cause. */
	bool crashes_fail_jobs = false;
	bool capacity_changes = false; /* workers report theirs */
	bool replacements = false;     /* workers end, others take their VM */
	int64_t work_factor = 1;       /* how long runs last */
	int64_t near_work_ms = 0;      /* jobs after that are deferred */
	uint64_t deferred = 0;	       /* and known to a next owner */
	int64_t owner_since_us = 0;
	uint64_t takeovers = 0;
	uint64_t starts = 0;
	uint64_t grants = 0;
	uint64_t conclusions = 0;
	std::vector<ModelWitness> witnesses;
	uint64_t marked = 0; /* as having no lease of the last owner */
	uint64_t over = 0;   /* as a later worker on their VM showed */

      private:
	struct Event {
		int64_t at_us;
		uint64_t order;
		std::function<void()> action;
		bool
		operator<(const Event &other) const
		{
			if (at_us != other.at_us)
				return at_us > other.at_us;
			return order > other.order;
		}
	};

	/* takeover_model.cc */
	void after(int64_t us, std::function<void()> action);
	void to_owner(
	    int number, uint64_t token, std::function<void(ModelOwner &)> f);
	ModelStep *find_step(const std::string &task);
	int64_t delay();

	/* takeover_workers.cc */
	void report_worker(ModelWorker &w);
	int64_t largest_cpu(const ModelWorker &w) const;
	void list_worker(ModelOwner &o, const ModelWorker &w);
	void discovery_changed(const std::string &id);
	bool hears(const ModelWorker &w) const;
	int64_t clock_ms(const ModelWorker &w) const;
	void tick_worker(ModelWorker &w);
	void end_run(ModelWorker &w, const std::string &task, uint32_t run,
	    enum wp_run_outcome outcome);
	void acknowledge(ModelWorker &w, uint64_t number);
	void expire_ends(const ModelWorker &w);
	void end_all_runs(ModelWorker &w);
	void restart_worker(ModelWorker &w);
	void remove_worker(ModelWorker &w);
	void replace_worker(ModelWorker &w);
	void begin_on_vm(const ModelWorker &last);

	/* takeover_starts.cc */
	enum wp_order_result do_order(ModelWorker &w, const ModelOrder &order);
	bool refuse_repeat(ModelWorker &w, const struct wp_order &o,
	    enum wp_order_result *result);
	enum wp_order_result do_start(ModelWorker &w, const ModelOrder &order);
	void extend_lease(ModelWorker &w, int64_t until_ms);

	/* takeover_checks.cc */
	void check_start(
	    ModelWorker &w, const ModelOrder &order, const ModelStep &step);
	void check_placement(
	    ModelWorker &w, const ModelOrder &order, const ModelStep &step);
	void check_twice(ModelWorker &w, const ModelOrder &order);
	void check_ends(ModelWorker &w, const ModelOrder &order);
	bool is_start_after_end(
	    ModelWorker &w, const ModelOrder &order, const ModelKnownEnd &end);
	int64_t heard_at_us(const ModelWorker &w);
	void count_known_time(ModelWorker &w);
	void report(bool fault, const std::string &what);
	bool is_calm() const;
	bool is_reached(const ModelWorker &w);
	void check_cancelled(ModelWorker &w);
	void check_attempts(const std::string &task);

	/* takeover_jobs.cc */
	void load_job(ModelOwner &o, const ModelJob &job, bool is_new);
	struct jb_spec *make_spec(const ModelJob &job);

	/* takeover_owners.cc */
	void claim();
	bool last_owner_has_ended();
	void load_pool(ModelOwner &o, int64_t earlier_until_us);
	void tick_owner(ModelOwner &o);
	void renew_ownership(ModelOwner &o);
	void step_down(ModelOwner &o);
	void forget_ended_jobs(ModelOwner &o);
	void check_pool(const ModelOwner &o);

	/* takeover_commits.cc */
	void start_commit(ModelOwner &o);
	void send_commit(ModelOwner &o, std::shared_ptr<ModelCommit> cm);
	bool apply_commit(ModelCommit &cm);

	/* takeover_calls.cc */
	void send_orders(ModelOwner &o);
	void send_renewals(ModelOwner &o);
	void fail_renewal(
	    std::shared_ptr<ModelRenewal> call, enum wp_order_result result);
	void reply_to_renewal(
	    std::shared_ptr<ModelRenewal> call, int64_t takes_us);
	void send_advice_requests(ModelOwner &o);

	/* takeover_faults.cc */
	void add_missing_kinds();
	std::vector<std::string> alive_workers() const;
	void break_owner();
	void break_around_a_commit(const std::string &id);
	void evacuate(const std::string &id);

	/* takeover_witness.cc */
	uint64_t pick(uint64_t below);
	int64_t local_us(const ModelOwner &o, int64_t us) const;
	bool may_act(const ModelOwner &o) const;
	bool has_no_permit(const ModelOwner &o) const;
	bool is_together(bool away, bool other_away) const;
	bool reaches(int number, const ModelWorker &w) const;
	ModelWitness *find_witness(const char *vm);
	struct wt_list choose_witnesses(const ModelOwner &o);
	void begin_witnesses(ModelOwner &o, bool last_has_ended);
	void write_list(int number, uint64_t token, struct wt_list list,
	    uint64_t sequence, bool again);
	void ask_witnesses(ModelOwner &o, const struct wt_list &list);
	void tick_permit(ModelOwner &o);
	void ask_witness(ModelOwner &o, const std::string &vm, uint32_t of_term,
	    uint64_t of_token, bool revoke);
	void answer_question(int number, uint64_t token, ModelWitness &v,
	    uint32_t of_term, uint64_t of_token, int64_t asked_us, bool revoke);
	void on_revoked(
	    ModelOwner &o, const struct wt_witness &from, int64_t left_us);
	void conclude(ModelOwner &o);
	void tick_inquiry(ModelOwner &o);
	void check_acts(const ModelOwner &o);
	void tick_witness(ModelWitness &v);
	void restart_witness(ModelWitness &v, int64_t down_us);
	void cut_from_store(int64_t us);
	void write_entry_late(ModelWitness &v);
	void stop_store(int64_t us);
	bool split_workers(int64_t us);

	std::mt19937_64 rng;
	std::mt19937_64 witness_rng;
	LifeClocks clocks;
	std::priority_queue<Event> events;
	uint64_t event_count = 0;
	std::map<int, std::unique_ptr<ModelOwner>> owners;
	int current = 0;
	int owner_count = 0;
	std::set<std::pair<std::string, uint32_t>> sent;
	std::map<std::string, std::vector<ModelKnownEnd>> done;
	std::map<std::string, std::vector<ModelKnownEnd>> failed;

	/* The store. */
	uint64_t revision = 1;
	uint64_t stored_token = 0;
	uint64_t stored_sequence = 0;
	uint32_t term = 0;
	int64_t lease_until_us = 0;
	int64_t earlier_until_us = 0;
	struct wt_list stored_witnesses = {};
	uint64_t stored_list = 0;
	uint64_t last_token = 0;
	int64_t store_down_until_us = 0;
	int64_t away_until_us = 0;
	int64_t split_until_us = 0;
	int64_t freeze_claim_us = 0;
	/* By token: until when its successor takes it to act. */
	std::map<uint64_t, int64_t> concluded;
	std::vector<ModelRegistered> registry;
	std::vector<std::string> not_started;
	uint32_t registry_term = 0;
	int64_t registry_stored_us = 0;
	int64_t claim_at_us = 0;
	int next_worker = 0;
	size_t id_length;
	int next_job = 1;
};

#endif
