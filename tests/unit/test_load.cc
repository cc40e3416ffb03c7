#include "pool_fixture.h"

#include <algorithm>
#include <map>
#include <memory>

extern "C" {
#include "common/rng.h"
}

namespace
{

constexpr int64_t kStep = 10 * kMs;

/* A kind of job: one step of @count tasks of @cpu for @work_ms. */
struct Kind {
	const char *queue;
	uint32_t count;
	uint32_t cpu;
	uint32_t work_ms;
	uint32_t flags;
	uint32_t priority;
	uint32_t approved_percent;
	uint32_t decide_us;
	uint32_t period_us;
	uint32_t valid_ms = 2000;
};

const Kind kGang = {"gang", 8, 9000, 4000, JB_GANG, 1, 30, 310000, 4400};
const Kind kBatch = {"batch", 10, 2000, 2200, 0, 2, 45, 42000, 600};
const Kind kUrgent = {"urgent", 2, 2800, 800, 0, 0, 70, 7000, 100};
/* One task a worker; tickets expire in twice the time that these take. */
const Kind kShortTickets = {
    "short", 4, 17000, 3600, JB_GANG, 1, 30, 715000, 10270, 1500};
const Kind kSmall = {"small", 13, 2800, 3800, 0, 2, 45, 195000, 2730, 1500};
/* Takes whole workers, of which nine tenths run something most of the time. */
const Kind kWhole = {"whole", 4, 32000, 3600, JB_GANG, 1, 30, 715000, 10000};

struct SimRun {
	std::string job;
	uint32_t index;
	uint32_t run;
	int64_t begun;
	int64_t ends;
};

struct SimWorker {
	std::vector<SimRun> runs;
	std::vector<End> ends;
	uint64_t next_end = 1;
	int64_t renew_at = 0;
};

struct SimRequest {
	struct wp_advice_request request;
	std::vector<std::string> names;
	int64_t answer_at;
};

struct SimJob {
	const Kind *kind;
	int64_t sent;
	int64_t started = 0;
};

/*
 * Plays a load through the decisions of a pool: workers run what they are
 * ordered to for the time it takes, and the advice service answers a request
 * at a time for each daemon.
 */
class Load : public Pool
{
      protected:
	void
	begin(int workers, int daemons, uint64_t seed)
	{
		rng.state = seed;
		create_pool();
		service.resize(daemons);
		for (int i = 0; i < workers; i++) {
			std::string id = "w" + std::to_string(i);

			sim[id].renew_at = now + i * kMs;
			add_worker_of(id);
		}
	}

	void
	add_worker_of(const std::string &id)
	{
		struct wp_worker_info info = {id.c_str(), "127.0.0.1:1", "a",
		    "kind", "rack", {32000, 65536, 0}, false, 0};

		wp_set_worker(p, &info, now);
		renew_lease(id);
		commit();
	}

	void
	submit(const Kind &kind)
	{
		std::string id = job_id((int)jobs.size() + 1);
		struct jb_spec *s = spec(
		    id, {{kind.count, kind.cpu, kind.flags}}, kind.valid_ms);

		talloc_free(s->queue);
		s->queue = talloc_strdup(s, kind.queue);
		s->step[0].estimate_ms = kind.work_ms;
		s->policy.priority = kind.priority;
		s->policy.advice_decide_us = kind.decide_us;
		s->policy.advice_period_us = kind.period_us;
		s->policy.target_latency_ms = 3000;
		s->accepted_wall_ms = now / kMs;
		jobs[id] = {&kind, now};
		wp_add_job(p, s, nullptr, true, 0, now);
	}

	/* Submits jobs of a kind at a rate, for one step of the simulation. */
	void
	arrive(const Kind &kind, double per_s)
	{
		double odds = per_s * (double)kStep / (double)kS;

		if ((double)rng_below(&rng, 1000000) < odds * 1e6)
			submit(kind);
	}

	static size_t
	hash_of(const std::string &job, const std::string &worker)
	{
		return std::hash<std::string>()(job + "/" + worker);
	}

	bool
	is_approved(const std::string &job, const std::string &worker)
	{
		return hash_of(job, worker) % 100 <
		    jobs[job].kind->approved_percent;
	}

	static int64_t
	cost_of(const SimRequest &r)
	{
		return r.request.base_cost_us +
		    (int64_t)r.request.worker_cost_us * r.request.worker_count;
	}

	void
	make_requests()
	{
		SimRequest r = {};

		while (wp_next_advice_request(p, now, &r.request)) {
			r.names.assign(r.request.worker,
			    r.request.worker + r.request.worker_count);
			queue.push_back(r);
		}
	}

	/* The request that a daemon serves next; a third serve short ones. */
	std::vector<SimRequest>::iterator
	next_request(size_t daemon)
	{
		auto best = queue.end();

		for (auto r = queue.begin(); r != queue.end(); r++) {
			if ((cost_of(*r) < 60 * kMs) != (daemon % 3 == 0))
				continue;
			if (best == queue.end() ||
			    r->request.priority < best->request.priority ||
			    (r->request.priority == best->request.priority &&
				cost_of(*r) < cost_of(*best)))
				best = r;
		}
		return best;
	}

	void
	serve_requests()
	{
		for (size_t i = 0; i < service.size(); i++) {
			while (service[i].answer_at <= now) {
				int64_t free_at = service[i].answer_at;

				if (!service[i].names.empty())
					answer_request(service[i]);
				service[i].names.clear();
				auto next = next_request(i);
				if (next == queue.end())
					break;
				service[i] = *next;
				queue.erase(next);
				service[i].answer_at =
				    std::max(free_at, now - kStep) +
				    cost_of(service[i]);
			}
		}
	}

	void
	answer_request(SimRequest &r)
	{
		std::vector<struct wp_approval> approved;

		for (size_t k = 0; k < r.names.size(); k++) {
			r.request.worker[k] = r.names[k].c_str();
			if (is_approved(r.request.job, r.names[k]))
				approved.push_back({r.names[k].c_str(), "t"});
		}
		wp_on_advice(p, &r.request, true, approved.data(),
		    (uint32_t)approved.size(), now, now);
	}

	void
	carry_out(const struct wp_order *o)
	{
		SimWorker &w = sim[o->worker];
		SimJob &job = jobs[o->ref.job];
		/* Within a quarter of the estimate. */
		int64_t work = job.kind->work_ms * kMs *
		    (75 + (int64_t)(hash_of(o->ref.job, o->worker) % 50)) / 100;

		if (o->kind == WP_ORDER_START) {
			if (job.started == 0)
				job.started = now;
			w.runs.push_back({o->ref.job, o->ref.index, o->run, now,
			    now + work});
		}
		answer(o);
	}

	/* A gang ends together. */
	void
	end_runs()
	{
		for (auto &entry : sim) {
			SimWorker &w = entry.second;

			for (size_t i = 0; i < w.runs.size();) {
				SimRun &r = w.runs[i];

				if (r.ends > now) {
					i++;
					continue;
				}
				w.ends.push_back({w.next_end++, r.job, 0,
				    r.index, r.run, WP_END_DONE});
				w.runs.erase(w.runs.begin() + (long)i);
				w.renew_at = now;
			}
		}
	}

	void
	renew_all()
	{
		for (auto &entry : sim) {
			SimWorker &w = entry.second;
			std::vector<Running> running;

			if (now < w.renew_at)
				continue;
			w.renew_at = now + 500 * kMs;
			for (const SimRun &r : w.runs)
				running.push_back({r.job, 0, r.index, r.run, 0,
				    (uint32_t)((now - r.begun) * 100 /
					(r.ends - r.begun))});
			renew_lease(entry.first, running, w.ends);
			w.ends.clear();
		}
	}

	void
	play_step()
	{
		now += kStep;
		serve_requests();
		end_runs();
		renew_all();
		for (struct wp_order *o : tick()) {
			carry_out(o);
			talloc_free(o);
		}
		make_requests();
		commit();
	}

	int64_t
	used_mcpu() const
	{
		struct wp_worker *w;
		struct wp_worker *tmp;
		int64_t used = 0;

		HASH_ITER(hh, p->workers, w, tmp)
			used += w->used.cpu_mcpu;
		return used;
	}

	int64_t
	waiting_mcpu() const
	{
		struct wp_queue_waits row[4];
		uint32_t n = wp_get_waits(p, now, row, 4);
		int64_t sum = 0;

		for (uint32_t i = 0; i < n; i++) {
			for (int64_t cpu : row[i].cpu_mcpu)
				sum += cpu;
		}
		return sum;
	}

	/* Longest time from submission to start, of jobs so old at least. */
	int64_t
	longest_wait(const Kind &kind) const
	{
		int64_t longest = 0;

		for (const auto &entry : jobs) {
			const SimJob &j = entry.second;

			if (j.kind == &kind)
				longest = std::max(longest,
				    (j.started > 0 ? j.started : now) - j.sent);
		}
		return longest;
	}

	struct rng rng = {};
	std::map<std::string, SimWorker> sim;
	std::map<std::string, SimJob> jobs;
	std::vector<SimRequest> queue;
	std::vector<SimRequest> service; /* what each daemon waits for */
};

/*
 * Gangs of 72 cores beside batch work and short urgent jobs, at 83% of 48
 * workers of 32 cores; a burst of twice the gangs for four seconds.
 */
class MixedLoad : public Load
{
      protected:
	void
	play(uint64_t seed)
	{
		begin(48, 6, seed);
		while (now < kStart + 40 * kS) {
			bool burst =
			    now >= kStart + 12 * kS && now < kStart + 16 * kS;

			arrive(kGang, burst ? 4.6 : 2.3);
			arrive(kBatch, 10.2);
			arrive(kUrgent, 38);
			play_step();
			record_use();
		}
	}

	/* Of the moments at which more waits than fits. */
	void
	record_use()
	{
		int64_t used = used_mcpu();

		if (waiting_mcpu() <= kCapacity - used)
			return;
		used_sum += used;
		used_samples++;
	}

	static constexpr int64_t kCapacity = 48 * 32000;
	int64_t used_sum = 0;
	int64_t used_samples = 0;
};

/*
 * A gang meets its objective if it starts within six seconds. Gangs used to
 * gather tickets again and again, while smaller tasks took what became free.
 */
TEST_F(MixedLoad, GangsAndUrgentJobsStartInTime)
{
	play(7);
	EXPECT_LE(longest_wait(kGang), 6 * kS);
	EXPECT_LE(longest_wait(kUrgent), kS);
}

/* Cores used to idle beside the queue, a fifth of all. */
TEST_F(MixedLoad, NineTenthsOfTheCoresAreInUseWhileMoreWaitsThanFits)
{
	play(7);
	ASSERT_GT(used_samples, 0);
	EXPECT_GE(used_sum / used_samples, kCapacity * 9 / 10);
}

/*
 * Gangs of whole workers among a stream of small tasks; a third of the workers
 * drains. Such gangs started only once the stream had ended.
 */
TEST_F(Load, GangsOfWholeWorkersDoNotStarve)
{
	begin(60, 12, 11);
	for (int i = 0; now < kStart + 40 * kS; i++) {
		if (i % 400 == 0 && now < kStart + 24 * kS)
			submit(kWhole);
		arrive(kBatch, 22);
		if (now == kStart + 10 * kS) {
			for (int k = 0; k < 60; k += 3)
				wp_unlist_worker(
				    p, ("w" + std::to_string(k)).c_str());
		}
		play_step();
	}
	EXPECT_LE(longest_wait(kWhole), 12 * kS);
}

/*
 * What gathered during an outage: 60 gangs of four and as many steps of small
 * tasks on 98 workers, while few daemons ask for advice.
 */
class Backlog : public Load
{
      protected:
	void
	play(int daemons)
	{
		begin(98, daemons, 5);
		for (int i = 0; i < 60; i++) {
			submit(kShortTickets);
			submit(kSmall);
		}
		while (now < kStart + 30 * kS) {
			arrive(kSmall, 3);
			play_step();
		}
	}
};

/* Each gang had to ask again and again, 2.5 times on average. */
TEST_F(Backlog, OfGangsWithShortTicketsDrainsWhileAdviceIsScarce)
{
	play(12);
	EXPECT_LE(longest_wait(kShortTickets), 13 * kS);
}

TEST_F(Backlog, OfGangsWithShortTicketsDrains)
{
	play(20);
	EXPECT_LE(longest_wait(kShortTickets), 12 * kS);
}

} // namespace
