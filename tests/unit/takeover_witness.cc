#include "takeover_internal.h"

#include <algorithm>
#include <cstring>

/* Witnesses of owners, and what the next owner learns from them. */

namespace
{

constexpr int64_t kWorkerLease = 3400 * kMs;
constexpr int64_t kAskAfter = 800 * kMs;
constexpr int64_t kAskEvery = 400 * kMs;
constexpr int64_t kCheckEvery = 500 * kMs;
constexpr int64_t kInquireEvery = 300 * kMs;
constexpr int64_t kLookEvery = 250 * kMs;
constexpr int64_t kMaxLateMessage = 5 * kS;
/* What a worker's lease is longer than needed. */
constexpr int64_t kLeaseMargin = 300 * kMs;
constexpr size_t kWitnesses = 4;
/* Clocks are slow by up to 2%. */
constexpr int64_t kSlowest = 20;

int64_t
on_clock(int64_t us, int64_t slow_per_mille)
{
	return us - us / 1000 * slow_per_mille;
}

} // namespace

void
TakeoverModel::use_witnesses(uint64_t seed)
{
	witness_rng.seed(seed);
	for (size_t i = 0; i < kWitnesses; i++) {
		ModelWitness v;

		v.vm = "v" + std::to_string(i);
		v.slow_per_mille = (int64_t)pick(kSlowest + 1);
		witnesses.push_back(v);
	}
}

/* Other draws would change the schedules of known seeds. */
uint64_t
TakeoverModel::pick(uint64_t below)
{
	return witness_rng() % below;
}

int64_t
TakeoverModel::local_us(const ModelOwner &o, int64_t us) const
{
	return on_clock(us, o.slow_per_mille);
}

bool
TakeoverModel::may_act(const ModelOwner &o) const
{
	return local_us(o, now) <=
	    wt_may_act_until_us(&o.permit, local_us(o, o.confirmed_us));
}

/* And gets none any more without being confirmed. */
bool
TakeoverModel::has_no_permit(const ModelOwner &o) const
{
	return local_us(o, now) - local_us(o, o.confirmed_us) >
	    WT_UNCONFIRMED_LIMIT_US;
}

bool
TakeoverModel::is_together(bool away, bool other_away) const
{
	return now >= away_until_us || away == other_away;
}

bool
TakeoverModel::reaches(int number, const ModelWorker &w) const
{
	return hears(w) &&
	    (now >= split_until_us || owners.at(number)->away == w.away);
}

ModelWitness *
TakeoverModel::find_witness(const char *vm)
{
	for (ModelWitness &v : witnesses) {
		if (v.vm == vm)
			return &v;
	}
	return nullptr;
}

/* Those whose entries are there; that of a dead one stays for a while. */
struct wt_list
TakeoverModel::choose_witnesses(const ModelOwner &o)
{
	std::vector<struct wt_candidate> rows;
	struct wt_list list = {};

	for (const ModelWitness &v : witnesses) {
		bool linked = v.alive && is_together(o.away, v.away);

		if ((!v.alive && now > v.died_us + 4 * kS) ||
		    (o.pool != nullptr && !linked))
			continue;
		rows.push_back(
		    {v.vm.c_str(), v.vm.c_str(), v.entry, linked, true});
	}
	wt_choose(&o.permit.stored.list, "", rows.data(), (uint32_t)rows.size(),
	    &list);
	return list;
}

void
TakeoverModel::begin_witnesses(ModelOwner &o, bool last_has_ended)
{
	struct wt_list list;

	o.slow_per_mille = witnesses.empty() ? 0 : (int64_t)pick(kSlowest + 1);
	o.term = term;
	wt_inquire(&o.inquiry, &stored_witnesses, local_us(o, now));
	o.inquiring = !last_has_ended && stored_witnesses.count > 0;
	o.inquiry_term = term - 1;
	o.inquiry_token = last_token;
	last_token = o.token;
	list = choose_witnesses(o);
	wt_permit_begin(&o.permit, &list);
	o.frozen_until_us = now + freeze_claim_us;
	freeze_claim_us = 0;
	stored_witnesses = list;
	stored_list = 0;
}

/* --- owner --- */

void
TakeoverModel::write_list(int number, uint64_t token, struct wt_list list,
    uint64_t sequence, bool again)
{
	bool lost = again && pick(3) == 0;
	bool unanswered = lost || pick(5) == 0;
	int64_t takes_us = pick(6) == 0 ? (int64_t)pick(3 * kS) : 5 * kMs;
	auto repeat = [=] {
		to_owner(number, token, [=](ModelOwner &me) {
			if (me.permit.has_pending && me.list == sequence)
				write_list(number, token, list, sequence, true);
		});
	};

	after(400 * kMs, repeat);
	if (lost || now < owners[number]->cut_until_us)
		return;
	after(takes_us, [=] {
		bool ok = token == stored_token && sequence >= stored_list;

		if (now < store_down_until_us)
			return;
		if (ok && sequence > stored_list) {
			stored_list = sequence;
			stored_witnesses = list;
		}
		if (unanswered)
			return;
		after(5 * kMs, [=] {
			to_owner(number, token, [=](ModelOwner &me) {
				if (!ok)
					step_down(me);
				else if (me.list == sequence)
					wt_permit_changed(&me.permit);
			});
		});
	});
}

void
TakeoverModel::ask_witnesses(ModelOwner &o, const struct wt_list &list)
{
	for (uint32_t i = 0; i < list.count; i++)
		ask_witness(o, list.witness[i].vm, o.term, o.token, false);
}

void
TakeoverModel::tick_permit(ModelOwner &o)
{
	struct wt_list list;

	if (now >= o.list_at_us && !o.permit.has_pending) {
		o.list_at_us = now + kCheckEvery;
		list = choose_witnesses(o);
		if (!wt_equals(&list, &o.permit.stored.list)) {
			wt_permit_change(&o.permit, &list);
			write_list(o.number, o.token, list, ++o.list, false);
		}
	}
	if (now - o.confirmed_us < kAskAfter || now < o.ask_at_us)
		return;
	o.ask_at_us = now + kAskEvery;
	ask_witnesses(o, o.permit.stored.list);
	if (o.permit.has_pending)
		ask_witnesses(o, o.permit.pending.list);
}

/* --- messages --- */

void
TakeoverModel::ask_witness(ModelOwner &o, const std::string &vm,
    uint32_t of_term, uint64_t of_token, bool revoke)
{
	int number = o.number;
	uint64_t token = o.token;
	int64_t asked_us = local_us(o, now);
	ModelWitness *v = find_witness(vm.c_str());
	bool late = pick(10) == 0;
	int64_t takes_us = late ? (int64_t)pick(kMaxLateMessage) : 3 * kMs;

	if (pick(12) == 0 || !is_together(o.away, v->away))
		return;
	after(takes_us, [=] {
		if (!v->alive)
			return;
		/* A frozen one reads it when it resumes. */
		after(std::max<int64_t>(v->frozen_until_us - now, 0), [=] {
			if (v->alive)
				answer_question(number, token, *v, of_term,
				    of_token, asked_us, revoke);
		});
	});
}

void
TakeoverModel::answer_question(int number, uint64_t token, ModelWitness &v,
    uint32_t of_term, uint64_t of_token, int64_t asked_us, bool revoke)
{
	int64_t local = on_clock(now, v.slow_per_mille);
	struct wt_witness from = {};
	bool granted = false;
	int64_t left_us = 0;
	bool late = pick(10) == 0;
	int64_t takes_us = late ? (int64_t)pick(kMaxLateMessage) : 3 * kMs;

	v.vm.copy(from.vm, sizeof(from.vm) - 1);
	from.incarnation = v.incarnation;
	if (revoke)
		left_us =
		    std::max<int64_t>(wt_revoke(&v.memory, of_term) - local, 0);
	else
		granted = v.seen_token == of_token &&
		    wt_grant(&v.memory, of_term, local);
	grants += granted;
	if (pick(12) == 0 || !is_together(owners[number]->away, v.away))
		return;
	after(takes_us, [=] {
		to_owner(number, token, [=](ModelOwner &me) {
			if (revoke)
				on_revoked(me, from, left_us);
			else if (granted)
				wt_permit_granted(&me.permit, &from, asked_us);
		});
	});
}

/* --- next owner --- */

void
TakeoverModel::on_revoked(
    ModelOwner &o, const struct wt_witness &from, int64_t left_us)
{
	const struct wt_list &list = o.inquiry.votes.list;
	int32_t i = wt_find(&list, from.vm);

	if (list.witness[i].incarnation == from.incarnation)
		wt_on_revoked(&o.inquiry, from.vm, local_us(o, now) + left_us);
	else
		wt_on_ended(&o.inquiry, from.vm, local_us(o, now));
	conclude(o);
}

/* Its clock may be slow, but counts the time that is left as if it weren't. */
void
TakeoverModel::conclude(ModelOwner &o)
{
	const char *slowest;
	int64_t until_us = wt_last_owner_until_us(&o.inquiry, &slowest);
	uint64_t token = o.token;
	int64_t bound_us;

	if (until_us >= o.inquiry.claimed_us + WT_UNCONFIRMED_LIMIT_US)
		return;
	until_us += now - local_us(o, now);
	bound_us = std::max(until_us + kWorkerLease, o.older_until_us);
	if (bound_us >= o.earlier_until_us)
		return;
	o.earlier_until_us = bound_us;
	concluded[o.inquiry_token] = until_us;
	conclusions++;
	wp_earlier_owners_stopped(o.pool, bound_us);
	after((int64_t)pick(400) * kMs, [=] {
		if (token == stored_token && now >= store_down_until_us)
			earlier_until_us = bound_us;
	});
}

void
TakeoverModel::tick_inquiry(ModelOwner &o)
{
	const struct wt_votes &votes = o.inquiry.votes;

	if (!o.inquiring || now < o.inquire_at_us)
		return;
	o.inquire_at_us = now + kInquireEvery;
	for (uint32_t i = 0; i < votes.list.count; i++) {
		const struct wt_witness &w = votes.list.witness[i];
		const ModelWitness *v = find_witness(w.vm);

		if (votes.until_us[i] != WT_UNKNOWN)
			continue;
		/* A lower one may have been written late. */
		if (v->entry > w.incarnation)
			wt_on_ended(&o.inquiry, w.vm, local_us(o, now));
		else
			ask_witness(
			    o, w.vm, o.inquiry_term, o.inquiry_token, true);
	}
	conclude(o);
}

void
TakeoverModel::check_acts(const ModelOwner &o)
{
	auto until = concluded.find(o.token);

	if (until != concluded.end() && now > until->second + kLeaseMargin)
		violations.push_back("owner " + std::to_string(o.number) +
		    " acts longer than its successor counts on");
}

/* --- witnesses --- */

void
TakeoverModel::tick_witness(ModelWitness &v)
{
	if (!v.alive || now < v.frozen_until_us || now < v.look_at_us ||
	    now < store_down_until_us || now < v.cut_until_us ||
	    !is_together(v.away, false))
		return;
	if (now >= v.entry_at_us)
		v.entry = v.incarnation;
	v.look_at_us = now + (int64_t)pick(kLookEvery);
	v.seen_token = now < lease_until_us ? stored_token : 0;
}

void
TakeoverModel::restart_witness(ModelWitness &v, int64_t down_us)
{
	std::string vm = v.vm;

	if (!v.alive)
		return;
	v.alive = false;
	v.died_us = now;
	v.memory = {};
	v.seen_token = 0;
	after(down_us, [this, vm] {
		ModelWitness *again = find_witness(vm.c_str());

		again->alive = true;
		again->incarnation++;
		again->frozen_until_us = 0;
	});
}

/* Some workers are only reached by the owner, the others only by later ones. */
bool
TakeoverModel::split_workers(int64_t us)
{
	if (owner() == nullptr || now < split_until_us || now < away_until_us)
		return false;
	split_until_us = now + us;
	owner()->away = true;
	for (auto &w : workers)
		w.second.away = pick(3) == 0;
	return true;
}

/* The owner, some witnesses and some workers on one side. */
void
TakeoverModel::part(int64_t us)
{
	if (!split_workers(us + (int64_t)pick(4000) * kMs))
		return;
	away_until_us = now + us;
	owner()->cut_until_us = away_until_us;
	for (ModelWitness &v : witnesses)
		v.away = pick(3) > 0;
}

/*
 * The owner and most witnesses have no path to the store, while others claim.
 * Some witnesses may have restarted, so that the stored list is out of date, and
 * the next owner may be slow to ask them.
 */
void
TakeoverModel::cut_from_store(int64_t us)
{
	bool restarts = pick(3) == 0;
	int64_t cut_us = (int64_t)pick(900) * kMs;

	for (ModelWitness &v : witnesses) {
		if (restarts && pick(4) > 0)
			restart_witness(v, (int64_t)(50 + pick(250)) * kMs);
	}
	if (pick(2) == 0)
		freeze_claim_us = (int64_t)(500 + pick(6000)) * kMs;
	after(cut_us, [this, us] {
		if (!split_workers(us))
			return;
		owner()->cut_until_us = now + us;
		for (ModelWitness &v : witnesses)
			v.cut_until_us = pick(6) > 0 ? now + us : now;
	});
}

/* The store applies an earlier write after the one that followed it. */
void
TakeoverModel::write_entry_late(ModelWitness &v)
{
	std::string vm = v.vm;
	uint64_t before = v.incarnation - 1;

	after((int64_t)pick(2000) * kMs, [this, vm, before] {
		ModelWitness *late = find_witness(vm.c_str());

		late->entry = before;
		late->entry_at_us = now + (int64_t)pick(4000) * kMs;
	});
}

/* Leases are paused, or run out meanwhile. */
void
TakeoverModel::stop_store(int64_t us)
{
	store_down_until_us = now + us;
	if (pick(2) == 0)
		lease_until_us = std::max(lease_until_us, now) + us;
	for (auto &o : owners)
		o.second->cut_until_us =
		    std::max(o.second->cut_until_us, store_down_until_us);
}

void
TakeoverModel::break_witnesses()
{
	ModelWitness &v = witnesses[pick(witnesses.size())];

	switch (pick(13)) {
	case 0:
	case 1:
	case 2:
		return part((int64_t)(500 + pick(14000)) * kMs);
	case 3:
		return stop_store((int64_t)(500 + pick(9000)) * kMs);
	case 4:
		return restart_witness(v, (int64_t)(100 + pick(3000)) * kMs);
	case 5:
		v.frozen_until_us = now + (int64_t)(100 + pick(8000)) * kMs;
		return;
	case 6:
		v.incarnation += v.alive;
		return write_entry_late(v);
	case 7:
		return freeze_owner((int64_t)(500 + pick(14000)) * kMs);
	case 8:
		restart_witness(v, (int64_t)(100 + pick(3000)) * kMs);
		return kill_owner();
	default:
		return cut_from_store((int64_t)(1000 + pick(12000)) * kMs);
	}
}
