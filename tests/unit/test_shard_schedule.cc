/*
 * Simulates a shard under random faults: messages are delayed, lost and
 * repeated, workers are cut off and restarted, owners are paused and replaced,
 * appends to the log are delayed or fail. The seed determines each run.
 */
#include <gtest/gtest.h>

#include "shard_model.h"

namespace
{

constexpr int64_t kStepUs = 10 * CLK_US_PER_MS;
constexpr int64_t kLeaseUs = 600 * CLK_US_PER_MS;

struct Owner {
	struct sh_shard *sh = nullptr;
	bool alive = false;
	bool fenced = false;
	int64_t paused_until_us = 0;
	/* Append in flight: its last record, or 0, and when it completes. */
	uint64_t append_to = 0;
	int64_t append_at_us = 0;
	/* The log position at which it expects to append next. */
	size_t next_seq = 0;
	std::vector<struct rc_record *> batch;
	uint64_t generation = 0;
};

struct Entry {
	int owner;
	std::vector<struct rc_record *> records;
};

struct Message {
	int64_t at_us;
	bool is_reply;
	std::shared_ptr<ModelSync> sync;
	ModelReply reply;
};

class Cell
{
      public:
	explicit Cell(uint64_t seed) : rng{seed}
	{
		mem = talloc_new(nullptr);
		for (int i = 0; i < 6; i++) {
			ModelWorker w;

			w.capacity = {8000, 16000000000, i < 2 ? 4 : 0};
			w.offset_us = (int64_t)rng_below(&rng, 1000000000);
			w.observer = &observer;
			workers.push_back(w);
			names.push_back("w" + std::to_string(i));
		}
		owners.resize(1);
		take_over(0);
	}
	~Cell()
	{
		for (Owner &o : owners)
			talloc_free(o.sh);
		talloc_free(mem);
	}

	uint64_t
	chance(uint64_t n)
	{
		return rng_below(&rng, n);
	}

	void take_over(size_t index);
	void submit();
	void cancel();
	void step(bool faults);
	bool all_ended();
	std::string describe_unfinished();
	void run(int steps);
	void run_until_ended();
	Owner &
	current()
	{
		return owners.back();
	}

	Observer observer;
	std::set<std::string> accepted;
	std::map<std::string, struct st_job_spec> specs;

      private:
	void step_owner(int index, bool faults);
	void step_append(int index, bool faults);
	void send_syncs(int index, bool faults);
	void deliver(Message &f, bool faults);
	void check(const struct sh_shard *sh);
	void inject_fault();
	struct sh_shard *make_shard();

	struct rng rng;
	TALLOC_CTX *mem;
	int64_t now_us = 1000 * CLK_US_PER_S;
	std::vector<ModelWorker> workers;
	std::vector<std::string> names;
	std::vector<Owner> owners;
	std::vector<Entry> log;
	std::deque<Message> messages;
	int next_job = 0;
	bool log_down = false;
	std::map<std::string, uint64_t> awaiting_commit;
};

struct sh_shard *
Cell::make_shard()
{
	struct sh_settings settings = {kLeaseUs, kLeaseUs / 3,
	    20 * CLK_US_PER_MS, 5 * CLK_US_PER_S, 1 << 20};
	struct sh_worker_spec spec[8];
	struct sh_shard *sh;

	sh = sh_create(nullptr, "s", &settings, po_get(PO_ORDINARY, PO_PACKING),
	    rng_next(&rng));
	for (size_t i = 0; i < workers.size(); i++)
		spec[i] = {names[i].c_str(), "127.0.0.1:1", i % 2 ? "r1" : "r0",
		    workers[i].capacity};
	sh_set_workers(sh, spec, (uint32_t)workers.size());
	return sh;
}

/* Seals the log, so that later appends of earlier owners fail. */
void
Cell::take_over(size_t index)
{
	Owner o;

	o.sh = make_shard();
	o.alive = true;
	for (const Entry &e : log) {
		for (struct rc_record *r : e.records)
			sh_apply(o.sh, r);
	}
	log.push_back(Entry{(int)index, {}});
	o.next_seq = log.size();
	sh_activate(o.sh, index + 1, now_us);
	if (index == 0 || !owners[index - 1].alive)
		sh_previous_owner_stopped(o.sh, now_us);
	owners[index] = o;
	awaiting_commit.clear();
}

void
Cell::submit()
{
	Owner &o = current();
	struct st_job_spec spec = {};
	struct sh_job *job;
	const char *why;
	std::string id = "s.j" + std::to_string(next_job++);
	uint64_t kind = chance(10);

	if (!o.alive || o.fenced || now_us < o.paused_until_us)
		return;
	spec.id = talloc_strdup(mem, id.c_str());
	spec.key = spec.id;
	spec.team = talloc_strdup(mem, chance(2) ? "a" : "b");
	spec.name = talloc_strdup(mem, "n");
	spec.kind = kind == 0 ? ST_SERVICE : kind < 3 ? ST_GANG : ST_BATCH;
	spec.job_class = (enum st_class)chance(3);
	spec.count = 1 + (uint32_t)chance(4);
	spec.per_task = {
	    500 + (int64_t)chance(6) * 500, 1000000000, chance(5) == 0 ? 1 : 0};
	spec.run_us = 20000 + (int64_t)chance(400000);
	spec.idempotent = spec.kind == ST_SERVICE || chance(2) == 0;
	if (sh_submit(o.sh, &spec, now_us, &job, &why) != SH_ACCEPTED)
		return;
	specs[id] = spec;
	awaiting_commit[id] = job->accept_record;
}

void
Cell::cancel()
{
	Owner &o = current();

	if (!o.alive || o.fenced || accepted.empty() ||
	    now_us < o.paused_until_us)
		return;
	auto it = accepted.begin();
	std::advance(it, (long)chance(accepted.size()));
	struct sh_job *job = sh_find_job(o.sh, it->c_str());

	if (job != nullptr)
		sh_cancel(o.sh, job);
}

void
Cell::check(const struct sh_shard *sh)
{
	const char *violation = sh_check_invariants(sh);

	if (violation != nullptr)
		observer.violations.push_back(violation);
}

void
Cell::step_append(int index, bool faults)
{
	Owner &o = owners[(size_t)index];

	if (o.append_to == 0) {
		const struct sh_pending_record *p = sh_pending_records(o.sh);

		if (p == nullptr || log_down)
			return;
		o.batch.clear();
		for (; p != nullptr; p = p->next) {
			/* Copied, since the log outlives the shard. */
			struct rc_record *copy =
			    (struct rc_record *)talloc_memdup(
				mem, p->record, sizeof(*copy));

			if (copy->job != nullptr)
				copy->job = talloc_strdup(mem, copy->job);
			if (copy->worker != nullptr)
				copy->worker = talloc_strdup(mem, copy->worker);
			if (copy->spec != nullptr)
				copy->spec = rc_dup_spec(mem, copy->spec);
			o.batch.push_back(copy);
			o.append_to = p->number;
		}
		o.append_at_us =
		    now_us + (faults ? (int64_t)chance(8) * kStepUs : 0);
		return;
	}
	if (now_us < o.append_at_us || log_down)
		return;
	/* An append fails if the position is taken: a later owner sealed it. */
	if (o.next_seq != log.size()) {
		o.fenced = true;
		return;
	}
	log.push_back(Entry{index, o.batch});
	o.next_seq++;
	/* A lost response is not simulated: the owner would read the log. */
	sh_committed(o.sh, o.append_to);
	o.append_to = 0;
	if (index != (int)owners.size() - 1)
		observer.violations.push_back("append after the seal");
	for (auto it = awaiting_commit.begin(); it != awaiting_commit.end();) {
		if (it->second <= o.sh->committed) {
			accepted.insert(it->first);
			it = awaiting_commit.erase(it);
		} else {
			++it;
		}
	}
}

void
Cell::send_syncs(int index, bool faults)
{
	Owner &o = owners[(size_t)index];

	for (uint32_t w = 0; w < workers.size(); w++) {
		if (!sh_sync_due(o.sh, w, now_us))
			continue;
		auto m = std::make_shared<ModelSync>();

		m->worker = w;
		m->owner = index;
		sh_sync_build(o.sh, w, now_us, &m->sync);
		/* Copies job ids: the shard may free them before delivery. */
		m->names.reserve(3 * SH_SYNC_MAX);
		auto keep = [&](struct sh_ref &ref) {
			m->names.push_back(ref.job);
			ref.job = m->names.back().c_str();
		};
		for (uint32_t i = 0; i < m->sync.start_count; i++)
			keep(m->sync.start[i].ref);
		for (uint32_t i = 0; i < m->sync.stop_count; i++)
			keep(m->sync.stop[i].ref);
		for (uint32_t i = 0; i < m->sync.ack_count; i++)
			keep(m->sync.ack[i]);
		int64_t delay = faults && chance(10) == 0
		    ? (int64_t)chance(200) * kStepUs
		    : (int64_t)chance(2) * kStepUs;

		messages.push_back(Message{now_us + delay, false, m, {}});
		if (faults && chance(30) == 0)
			messages.push_back(
			    Message{now_us + (int64_t)chance(300) * kStepUs,
				false, m, {}});
	}
}

void
Cell::deliver(Message &f, bool faults)
{
	ModelWorker &w = workers[f.sync->worker];
	Owner &o = owners[(size_t)f.sync->owner];

	if (!f.is_reply) {
		if (w.disconnected)
			return;
		f.reply = w.sync(f.sync->sync, now_us);
		/* A reply that comes too late is ignored when delivered. */
		int64_t delay = faults && chance(10) == 0
		    ? (int64_t)chance(40) * kStepUs
		    : 0;
		if (faults && chance(20) == 0)
			return;
		messages.push_back(
		    Message{now_us + delay, true, f.sync, f.reply});
		return;
	}
	struct sh_worker *wk = &o.sh->worker[f.sync->worker];

	if (!o.alive || o.fenced || !wk->in_flight ||
	    wk->seq != f.sync->sync.seq)
		return;
	struct sh_sync_reply r = {};
	auto refs = [](std::vector<ModelTask> &from) {
		std::vector<struct sh_ref> to;

		for (ModelTask &t : from)
			to.push_back({t.id.job.c_str(), t.id.index, t.attempt});
		return to;
	};
	auto running = refs(f.reply.running);
	auto started = refs(f.reply.started);
	auto refused = refs(f.reply.refused);
	std::vector<struct sh_ended> ended;

	for (ModelTask &t : f.reply.ended)
		ended.push_back(
		    {{t.id.job.c_str(), t.id.index, t.attempt}, t.result});
	r.fenced_by = f.reply.fenced_by;
	r.clock_us = f.reply.clock_us;
	r.lease_generation = f.reply.lease_generation;
	r.has_inventory = f.reply.has_inventory;
	r.running = running.data();
	r.running_count = running.size();
	r.started = started.data();
	r.started_count = started.size();
	r.refused = refused.data();
	r.refused_count = refused.size();
	r.ended = ended.data();
	r.ended_count = ended.size();
	if (!sh_sync_reply(o.sh, f.sync->worker, &r, now_us))
		o.fenced = true;
}

void
Cell::step_owner(int index, bool faults)
{
	Owner &o = owners[(size_t)index];

	if (!o.alive || o.fenced || now_us < o.paused_until_us)
		return;
	sh_set_store_ok(o.sh, !log_down);
	/* A message without a reply in time has failed. */
	for (uint32_t w = 0; w < workers.size(); w++) {
		struct sh_worker *wk = &o.sh->worker[w];

		if (wk->in_flight &&
		    now_us > wk->sync_at_us - kLeaseUs / 3 + 150000)
			sh_sync_failed(o.sh, w, now_us);
		if (chance(3) == 0)
			sh_request_sync(o.sh, w);
	}
	sh_tick(o.sh, now_us);
	check(o.sh);
	step_append(index, faults);
	if (!o.fenced)
		send_syncs(index, faults);
	check(o.sh);
}

void
Cell::inject_fault()
{
	uint64_t what = chance(400);
	ModelWorker &w = workers[chance(workers.size())];

	if (what < 4) {
		w.disconnected = !w.disconnected;
	} else if (what == 4) {
		w.restart();
	} else if (what == 5) {
		log_down = !log_down;
	} else if (what == 6) {
		current().paused_until_us =
		    now_us + (int64_t)chance(300) * kStepUs;
	} else if (what == 7 && !log_down) {
		/* The old owner has stopped, or only seems to have. */
		if (chance(2) == 0)
			current().alive = false;
		owners.resize(owners.size() + 1);
		take_over(owners.size() - 1);
	} else if (what < 10) {
		cancel();
	} else if (what < 40) {
		submit();
	}
}

void
Cell::step(bool faults)
{
	now_us += kStepUs;
	if (faults)
		inject_fault();
	for (ModelWorker &w : workers)
		w.tick(now_us);
	for (size_t i = 0, n = messages.size(); i < n; i++) {
		Message f = messages.front();

		messages.pop_front();
		if (f.at_us > now_us)
			messages.push_back(f);
		else
			deliver(f, faults);
	}
	for (size_t i = 0; i < owners.size(); i++)
		step_owner((int)i, faults);
}

void
Cell::run(int steps)
{
	for (int i = 0; i < steps && observer.violations.empty(); i++)
		step(true);
}

bool
Cell::all_ended()
{
	for (const std::string &id : accepted) {
		struct sh_job *job = sh_find_job(current().sh, id.c_str());

		if (job == nullptr || !sh_job_ended(current().sh, job))
			return false;
	}
	return true;
}

std::string
Cell::describe_unfinished()
{
	std::string text = "accepted work did not end:";
	char why[SH_TEXT_BYTES];

	for (const std::string &id : accepted) {
		struct sh_job *job = sh_find_job(current().sh, id.c_str());

		if (job == nullptr) {
			text += " lost " + id;
			continue;
		}
		if (sh_job_ended(current().sh, job))
			continue;
		sh_explain_wait(current().sh, job, why);
		text += std::string(" ") + why;
		for (uint32_t i = 0; i < job->spec->count; i++)
			text += " " + std::to_string(job->task[i].state);
	}
	return text;
}

/* Runs without faults until all accepted jobs have ended. */
void
Cell::run_until_ended()
{
	log_down = false;
	for (ModelWorker &w : workers)
		w.disconnected = false;
	for (Owner &o : owners)
		o.paused_until_us = 0;
	/* Only a new owner goes on, as the current one may be fenced. */
	for (size_t i = 0; i + 1 < owners.size(); i++)
		owners[i].alive = false;
	owners.resize(owners.size() + 1);
	owners[owners.size() - 2].alive = false;
	take_over(owners.size() - 1);
	/* Services never end by themselves and would fill the workers. */
	for (const std::string &id : accepted) {
		struct sh_job *job = sh_find_job(current().sh, id.c_str());

		if (job != nullptr && job->spec->kind == ST_SERVICE)
			sh_cancel(current().sh, job);
	}
	for (int i = 0;
	     i < 20000 && observer.violations.empty() && !all_ended(); i++)
		step(false);
}

class ShardSchedule : public testing::TestWithParam<uint64_t>
{
};

TEST_P(ShardSchedule, ChecksInvariants)
{
	Cell cell(GetParam());

	cell.run(6000);
	if (cell.observer.violations.empty())
		cell.run_until_ended();
	ASSERT_TRUE(cell.observer.violations.empty())
	    << cell.observer.violations.front() << " seed " << GetParam();
	EXPECT_TRUE(cell.all_ended()) << cell.describe_unfinished();
	EXPECT_GT(cell.accepted.size(), 10U);
	/* The results that the shard reports must match what the workers ran. */
	for (const std::string &id : cell.accepted) {
		struct sh_job *job = sh_find_job(cell.current().sh, id.c_str());

		ASSERT_NE(job, nullptr) << id << " was lost";
		for (uint32_t i = 0; i < job->spec->count; i++) {
			TaskId t{id, i};

			if (job->task[i].result == ST_RESULT_DONE) {
				EXPECT_GE(cell.observer.completions[t], 1)
				    << id << "/" << i << " never completed";
			}
			if (job->task[i].result == ST_RESULT_CANCELLED &&
			    !job->spec->idempotent &&
			    job->task[i].attempt == 0) {
				EXPECT_EQ(cell.observer.starts[t], 0)
				    << id << "/" << i << " had started";
			}
			if (!job->spec->idempotent) {
				EXPECT_LE(cell.observer.starts[t], 1);
			}
		}
	}
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, ShardSchedule, testing::Range<uint64_t>(1, 121));

} // namespace
