#include "takeover_internal.h"

#include <algorithm>

namespace
{

constexpr int64_t kOrderTimeout = 250 * kMs;
constexpr int64_t kTimeout = 700 * kMs;
constexpr int64_t kMaxLate = 12 * kS;
/* Until an order is known to have no answer, at the latest. */
constexpr int64_t kMaxResult = 6 * kS;
/* An overdue reply is awaited for so long. */
constexpr int64_t kMaxOverdue = 3 * kS;
constexpr int64_t kMaxAdvice = 4 * kS;
constexpr const char *kUnadvised = "w3";

} // namespace

void
TakeoverModel::send_orders(ModelOwner &o)
{
	struct wp_order *order;

	while ((order = wp_next_order(o.pool)) != nullptr) {
		std::string id = order->worker;
		std::string task = task_name(
		    order->ref.job, order->ref.step, order->ref.index);
		struct wp_order copy = *order;
		uint64_t fence = order->fence != 0 ? order->fence : o.token;
		ModelOrder sending = {copy, task, fence, now,
		    wp_find_worker(o.pool, order->worker)->incarnation_ms};
		int number = o.number;
		uint64_t token = o.token;
		bool lost = chance(faults.lost);
		bool late = chance(faults.late);
		bool unanswered = lost || late || chance(faults.answer_lost);
		bool unsent = faults.not_sent > 0 && chance(faults.not_sent);
		int64_t timeout = kOrderTimeout;
		bool repeated = copy.kind == WP_ORDER_START &&
		    !sent.insert({task, copy.run}).second;
		auto answered = std::make_shared<bool>(false);

		copy.worker = texts.insert(order->worker).first->c_str();
		copy.address = texts.insert(order->address).first->c_str();
		sending.order = copy;
		talloc_free(order);
		auto answer = [=](enum wp_order_result result, int64_t clock) {
			to_owner(number, token, [=](ModelOwner &me) {
				if (*answered)
					return;
				*answered = true;
				wp_on_order_result(
				    me.pool, &copy, result, clock, now);
			});
		};
		if (faults.result_late > 0 && chance(faults.result_late)) {
			timeout = (int64_t)random(kMaxResult);
			unanswered = true;
		}
		after(timeout,
		    [=] { answer(unsent ? WP_NOT_SENT : WP_NO_ANSWER, 0); });
		if (lost || unsent)
			continue;
		after(late ? (int64_t)random(kMaxLate) : delay(), [=] {
			ModelWorker &there = workers[id];
			enum wp_order_result result;

			if (!there.alive || (!late && !reaches(number, there)))
				return;
			if (fence < there.token || !repeated ||
			    !refuse_repeat(there, copy, &result))
				result = do_order(there, sending);
			if (unanswered)
				return;
			int64_t clock = clock_ms(there);
			after(delay(), [=] { answer(result, clock); });
		});
	}
}

void
TakeoverModel::fail_renewal(
    std::shared_ptr<ModelRenewal> call, enum wp_order_result result)
{
	to_owner(call->owner, call->token, [=](ModelOwner &me) {
		struct wp_worker *w =
		    wp_find_worker(me.pool, call->worker.c_str());

		if (call->ended || call->overdue)
			return;
		call->overdue = result == WP_OVERDUE;
		call->ended = !call->overdue;
		wp_on_renewal_failed(me.pool, w,
		    result == WP_REFUSED_STALE_TOKEN &&
			    wp_is_fenced_by_owner(w, call->fence)
			? WP_REFUSED_UNHEALTHY
			: result,
		    now);
	});
}

/* The lists are made now, and may arrive long after later ones. */
void
TakeoverModel::reply_to_renewal(
    std::shared_ptr<ModelRenewal> call, int64_t takes_us)
{
	ModelWorker &w = workers[call->worker];
	auto running = std::make_shared<std::vector<struct wp_running_task>>();
	auto ends = std::make_shared<std::vector<struct wp_run_end>>();
	struct wp_renewal_reply reply = {};

	if (!reaches(call->owner, w) ||
	    w.token != (call->fence != 0 ? call->fence : call->token))
		return;
	for (auto &run : w.running)
		running->push_back(
		    {ref_of(run.first.first), run.first.second, nullptr, 0, 0});
	for (const ModelEnd &e : w.ends)
		ends->push_back(
		    {e.number, ref_of(e.task), e.run, e.outcome, nullptr});
	reply.incarnation_ms = w.incarnation;
	reply.clock_ms = clock_ms(w);
	after(takes_us, [=] {
		to_owner(call->owner, call->token, [=](ModelOwner &me) {
			struct wp_worker *to =
			    wp_find_worker(me.pool, call->worker.c_str());
			struct wp_renewal_reply a = reply;

			if (call->ended)
				return;
			call->ended = true;
			me.hear(call->worker, a.incarnation_ms, now);
			a.running = running->data();
			a.running_count = (uint32_t)running->size();
			a.end = ends->data();
			a.end_count = (uint32_t)ends->size();
			if (call->overdue)
				wp_on_overdue_reply(
				    me.pool, to, &a, call->fence, now);
			else
				wp_on_renewal(me.pool, to, &a, now);
		});
	});
}

void
TakeoverModel::send_renewals(ModelOwner &o)
{
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_renewal renewal;

	HASH_ITER(hh, o.pool->workers, w, tmp) {
		std::string id = w->id;
		int64_t incarnation = w->incarnation_ms;

		if (!wp_renewal_due(o.pool, w, now, &renewal))
			continue;
		uint64_t fence = renewal.fence != 0 ? renewal.fence : o.token;
		bool lost = chance(faults.lost);
		bool late = lost && chance(faults.late * 3);
		bool unanswered = lost || chance(faults.answer_lost);
		int64_t takes = chance(faults.answer_late)
		    ? (int64_t)random(kMaxOverdue)
		    : delay();
		auto call = std::make_shared<ModelRenewal>();
		*call = {o.number, o.token, renewal.fence, id, false, false};
		after(kTimeout + renewal.wait_ms * kMs,
		    [=] { fail_renewal(call, WP_OVERDUE); });
		if (lost && !late)
			continue;
		struct wp_renewal r = renewal;
		after(late ? (int64_t)random(kMaxLate) : delay(), [=] {
			ModelWorker &there = workers[id];

			if (!there.alive ||
			    (!late && !reaches(call->owner, there)))
				return;
			if (fence < there.token) {
				after(delay(), [=] {
					fail_renewal(
					    call, WP_REFUSED_STALE_TOKEN);
				});
				return;
			}
			if (now < there.unhealthy_until_us) {
				after(delay(), [=] {
					fail_renewal(
					    call, WP_REFUSED_UNHEALTHY);
				});
				return;
			}
			there.token = fence;
			if (clock_ms(there) <= there.lease_end_ms ||
			    there.running.empty())
				extend_lease(there, r.deadline_clock_ms);
			/* Of a later incarnation, the ends are others. */
			if (incarnation == there.incarnation)
				acknowledge(there, r.acked_end);
			if (unanswered)
				return;
			int64_t pause =
			    std::min<int64_t>(r.wait_ms, random(200)) * kMs;
			after(pause, [=] { reply_to_renewal(call, takes); });
		});
	}
}

/* All workers but one are approved. */
void
TakeoverModel::send_advice_requests(ModelOwner &o)
{
	struct wp_advice_request request;

	while (wp_next_advice_request(o.pool, now, &request)) {
		struct wp_advice_request copy = request;
		auto named = std::make_shared<std::vector<std::string>>();
		int number = o.number;
		uint64_t token = o.token;
		bool ok = !chance(faults.lost + faults.answer_lost);

		for (uint32_t i = 0; i < request.worker_count; i++)
			named->push_back(request.worker[i]);
		int64_t takes = ok ? 50 * kMs : kTimeout;

		if (faults.advice_late > 0 && chance(faults.advice_late))
			takes += (int64_t)random(kMaxAdvice);
		after(takes, [=] {
			to_owner(number, token, [=](ModelOwner &me) {
				struct wp_advice_request r = copy;
				std::vector<struct wp_approval> good;

				for (size_t i = 0; i < named->size(); i++) {
					const std::string &id = (*named)[i];

					r.worker[i] = id.c_str();
					if (id != kUnadvised)
						good.push_back(
						    {id.c_str(), "ticket"});
				}
				wp_on_advice(me.pool, &r, ok, good.data(),
				    (uint32_t)good.size(), now, now);
			});
		});
	}
}
