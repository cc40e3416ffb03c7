#include <deque>
#include <map>

#include "tests/unit/pool_fixture.h"

namespace
{

constexpr int64_t kLinkBytesPerMs = 250;
constexpr int64_t kStartBytes = 830;
constexpr int64_t kRenewalBytes = 210;
constexpr int64_t kOrderTimeout = 250 * kMs;
constexpr int64_t kRenewalTimeout = 400 * kMs;
constexpr int64_t kWork = 600 * kMs;

/* A message from the owner to a worker, delivered in order over its link. */
struct Message {
	int64_t arrives_at;
	int64_t timeout_at;
	std::string worker;
	struct wp_order *order;
};

struct LinkRun {
	std::string job;
	uint32_t index;
	uint32_t run;
	int64_t ends_at;
	bool ended;
};

/* Plays the owner of a pool whose link carries 250 bytes in a millisecond. */
class NarrowLink : public Pool
{
      protected:
	void
	begin(int workers)
	{
		create_pool();
		for (int i = 0; i < workers; i++)
			add_worker("w" + std::to_string(i), 8000);
	}

	void
	send(int64_t bytes, int64_t timeout, const std::string &worker,
	    struct wp_order *order)
	{
		link_free_at =
		    std::max(link_free_at, now) + bytes * kMs / kLinkBytesPerMs;
		messages.push_back(
		    {link_free_at, now + timeout, worker, order});
	}

	void
	execute(const Message &m)
	{
		struct wp_order *o = m.order;
		std::vector<LinkRun> &list = runs[m.worker];

		for (LinkRun &r : list) {
			if (r.job == o->ref.job && r.index == o->ref.index &&
			    r.run == o->run) {
				if (o->kind == WP_ORDER_STOP)
					r.ended = true;
				return;
			}
		}
		if (o->kind == WP_ORDER_START) {
			executed++;
			list.push_back({o->ref.job, o->ref.index, o->run,
			    now + kWork, false});
		}
	}

	void
	deliver_order(const Message &m)
	{
		bool in_time = now <= m.timeout_at;

		execute(m);
		if (in_time)
			answer(m.order);
	}

	void
	deliver_renewal(const Message &m)
	{
		std::vector<Running> running;
		std::vector<End> ends;
		uint64_t number = 0;

		if (now > m.timeout_at)
			return;
		for (const LinkRun &r : runs[m.worker]) {
			if (r.ended || r.ends_at <= now)
				ends.push_back({++number, r.job, 0, r.index,
				    r.run,
				    r.ended ? WP_END_STOPPED : WP_END_DONE});
			else
				running.push_back(
				    {r.job, 0, r.index, r.run, 0, 1});
		}
		renew_lease(m.worker, running, ends);
	}

	void
	time_out()
	{
		for (Message &m : messages) {
			if (m.timeout_at >= now || m.timeout_at == 0)
				continue;
			if (m.order != nullptr)
				answer(m.order, WP_NO_ANSWER);
			else
				wp_on_renewal_failed(p,
				    wp_find_worker(p, m.worker.c_str()),
				    WP_NO_ANSWER, now);
			unanswered++;
			m.timeout_at = 0;
		}
	}

	void
	step()
	{
		struct wp_worker *w;
		struct wp_worker *tmp;
		struct wp_renewal renewal;

		now += kMs;
		while (
		    !messages.empty() && messages.front().arrives_at <= now) {
			Message m = messages.front();

			messages.pop_front();
			if (m.order != nullptr)
				deliver_order(m);
			else
				deliver_renewal(m);
		}
		time_out();
		for (struct wp_order *o : tick())
			send(kStartBytes, kOrderTimeout, o->worker, o);
		HASH_ITER(hh, p->workers, w, tmp) {
			if (wp_renewal_due(p, w, now, &renewal))
				send(kRenewalBytes,
				    kRenewalTimeout +
					(int64_t)renewal.wait_ms * kMs,
				    w->id, nullptr);
		}
		commit();
	}

	std::deque<Message> messages;
	std::map<std::string, std::vector<LinkRun>> runs;
	int64_t link_free_at = 0;
	int executed = 0;
	int unanswered = 0;
};

TEST_F(NarrowLink, BurstOfStartsDoesNotDelayAnswersPastTheirTimeouts)
{
	struct wp_job *job;

	begin(40);
	job = add(kJob, {{300}});
	for (int ms = 0; ms < 4000; ms++)
		step();
	EXPECT_EQ(job->state, JB_COMPLETED);
	EXPECT_EQ(unanswered, 0);
	EXPECT_EQ(executed, 300);
	EXPECT_EQ(p->stats.displaced, 0U);
}

} // namespace
