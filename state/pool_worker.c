#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* How long a worker may wait for a change before it answers a renewal. */
#define WP_RENEWAL_WAIT_MS 800
/* The same while opportunistic tasks may have to be throttled. */
#define WP_RENEWAL_WAIT_THROTTLED_MS 300
#define WP_RENEWAL_RETRY_US (250 * CLK_US_PER_MS)
/*
 * Pause while run ends are not stored yet, since the worker would report them
 * again at once.
 */
#define WP_RENEWAL_UNACKED_PAUSE_US (150 * CLK_US_PER_MS)
/* An acknowledgement goes only to a worker that has replied so lately. */
#define WP_ACK_MAX_REPLY_AGE_US (500 * CLK_US_PER_MS)
/* Pause otherwise, so that one reply reports several changes. */
#define WP_RENEWAL_PAUSE_US (5 * CLK_US_PER_MS)
/*
 * A worker that refuses renewals for so long counts as unreachable: its lease is
 * not extended, and has to be taken to expire some time.
 */
#define WP_UNHEALTHY_LIMIT_US (WP_LEASE_US / 2)
/* A start that is still unanswered after so many sends is stopped instead. */
#define WP_MAX_SENDS 3
/* A new owner has read which workers are listed by then. */
#define WP_ENTRIES_DELAY_US (500 * CLK_US_PER_MS)
/* An older reply doesn't tell that a worker is still there, or the same one. */
#define WP_MAX_REPLY_AGE_MS 1000

struct wp_worker *
wp_find_worker(struct wp_pool *p, const char *id)
{
	struct wp_worker *w;

	HASH_FIND_STR(p->workers, id, w);
	return w;
}

static void
wp_read_clock(struct wp_worker *w, int64_t clock_ms, int64_t now_us)
{
	w->clock_ms = clock_ms;
	w->clock_read_us = now_us;
}

static void
wp_worker_assign_index(struct wp_pool *p, struct wp_worker *w)
{
	w->index = p->worker_count++;
	p->worker_by_index = talloc_realloc(
	    p, p->worker_by_index, struct wp_worker *, p->worker_count);
	if (p->worker_by_index == NULL)
		abort();
	p->worker_by_index[w->index] = w;
}

/* One block holds all of them, as each allocation has a header. */
void
wp_worker_set_texts(struct wp_worker *w, const struct wp_worker_info *info)
{
	const char **field[] = {
	    &w->address, &w->domain, &w->kind, &w->rack, &w->vm};
	const char *text[] = {
	    info->address, info->domain, info->kind, info->rack, info->vm};
	size_t count = sizeof(field) / sizeof(field[0]);
	char *earlier = w->texts;
	bool changed = earlier == NULL;
	size_t bytes = 0;
	char *at;
	size_t i;

	for (i = 0; i < count; i++) {
		if (text[i] == NULL)
			text[i] = "";
		changed = changed || strcmp(*field[i], text[i]) != 0;
		bytes += strlen(text[i]) + 1;
	}
	if (!changed)
		return;
	at = talloc_array(w, char, bytes);
	if (at == NULL)
		abort();
	w->texts = at;
	for (i = 0; i < count; i++) {
		*field[i] = at;
		at = stpcpy(at, text[i]) + 1;
	}
	talloc_free(earlier);
}

static struct wp_worker *
wp_worker_create(struct wp_pool *p, const char *id, int64_t now_us)
{
	const struct wp_worker_info no_texts = {0};
	struct wp_worker *w = talloc_zero(p, struct wp_worker);

	if (w == NULL)
		abort();
	w->id = tx_dup(w, id);
	wp_worker_set_texts(w, &no_texts);
	wp_worker_assign_index(p, w);
	w->renew_at_us = now_us;
	/* After that, no run of an earlier owner can be left on it. */
	if (now_us < p->earlier_owner_until_us && !p->knows_registered)
		w->earlier_owner_until_us = p->earlier_owner_until_us;
	HASH_ADD_STR(p->workers, id, w);
	p->registry_dirty = true;
	return w;
}

void
wp_set_worker(
    struct wp_pool *p, const struct wp_worker_info *info, int64_t now_us)
{
	struct wp_worker *w = wp_find_worker(p, info->id);

	if (w == NULL)
		w = wp_worker_create(p, info->id, now_us);
	wp_worker_set_texts(w, info);
	if (!wp_resources_fit(&w->capacity, &info->capacity))
		w->freed = true;
	w->capacity = info->capacity;
	w->listed_incarnation_ms = info->incarnation_ms;
	wp_note_listed(p, w, info, now_us);
	wp_know_incarnation(p, w, info->incarnation_ms, now_us);
	w->capacity_until_ms = 0;
	if (p->capacity_valid_ms > 0 && info->clock_ms > 0)
		w->capacity_until_ms = info->clock_ms + p->capacity_valid_ms;
	if (!w->registered && !w->over)
		p->registry_dirty = true;
	if (!w->listed)
		w->renew_at_us = now_us;
	w->listed = true;
	w->draining = info->draining;
}

void
wp_unlist_worker(struct wp_pool *p, const char *id)
{
	struct wp_worker *w = wp_find_worker(p, id);

	if (w != NULL)
		w->listed = false;
}

void
wp_add_registered_worker(
    struct wp_pool *p, const char *id, const char *address, int64_t now_us)
{
	const struct wp_worker_info known = {.address = address};
	struct wp_worker *w = wp_find_worker(p, id);

	if (w != NULL)
		return;
	w = wp_worker_create(p, id, now_us);
	wp_worker_set_texts(w, &known);
	w->registered = true;
	w->inherited = true;
	w->close_at_us = now_us + WP_ENTRIES_DELAY_US;
}

void
wp_registry_loaded(struct wp_pool *p)
{
	p->knows_registered = true;
}

void
wp_earlier_owners_stopped(struct wp_pool *p, int64_t leases_end_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, p->workers, w, tmp) {
		if (w->earlier_owner_until_us > leases_end_us)
			w->earlier_owner_until_us = leases_end_us;
	}
	if (p->earlier_owner_until_us <= leases_end_us)
		return;
	p->earlier_owner_until_us = leases_end_us;
	p->registry_dirty = true;
}

bool
wp_needs_registration(const struct wp_worker *w, int64_t now_us)
{
	return !w->over &&
	    (w->listed || w->tasks != NULL || w->stray_count > 0 ||
		now_us < wp_lease_expiry_us(w));
}

void
wp_forget_orphans(struct wp_worker *w)
{
	memset(&w->orphaned, 0, sizeof(w->orphaned));
	TALLOC_FREE(w->orphan);
	w->orphan_count = 0;
	w->has_unknown_run = false;
}

/*
 * All runs of the earlier incarnation have ended. A start order in flight may
 * still reach the new one, whose clock started anew, so that it can't tell that
 * the deadline has passed. Once it has answered a stop, the run can't start
 * there any more.
 */
static void
wp_worker_restarted(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	wp_suspect_tasks(p, w, now_us);
	wp_count_crashed_worker(p, w, now_us);
	w->incarnation_ms = reply->incarnation_ms;
	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		/* By the clock of the earlier incarnation. */
		t->deadline_clock_ms = 0;
		t->confirmed_clock_ms = 0;
		t->stopped_clock_ms = 0;
		if (t->state != WP_TASK_DONE)
			wp_task_stop(p, t, now_us);
		else if (t->order_in_flight)
			wp_task_send_stop(p, t, now_us);
		else
			wp_task_release(t);
	}
	wp_read_clock(w, reply->clock_ms, now_us);
	w->processed_end = 0;
	w->unacked_count = 0;
	w->acked_end = 0;
	w->acked_sent = 0;
	w->acked_confirmed = 0;
	w->lease_end_clock_ms = 0;
	w->lists_clock_ms = 0;
	w->failures = 0;
	w->quarantined_until_us = 0;
	w->earlier_owner_until_us = 0;
	w->evacuating = false;
	wp_forget_orphans(w);
	wp_strays_restarted(p, w, now_us);
	wp_restart_fence(p, w, now_us);
}

static bool
wp_runs_throttled_tasks(const struct wp_worker *w)
{
	const struct wp_task *t;
	bool has_target = false;
	bool has_opportunistic = false;

	DL_FOREACH(w->tasks, t) {
		has_target |= t->step->spec->target_ms > 0;
		has_opportunistic |=
		    (t->step->spec->flags & JB_OPPORTUNISTIC) != 0;
	}
	return has_target && has_opportunistic;
}

/*
 * What the next renewal acknowledges. A new incarnation numbers its run ends
 * anew, so an acknowledgement that reaches it drops ends that were never read.
 * It is therefore sent once, soon after a reply of the incarnation that it is
 * for, and never with a renewal that waits at the worker.
 */
static uint64_t
wp_ack_to_send(const struct wp_worker *w, int64_t now_us)
{
	if (w->acked_end == w->acked_confirmed || !w->token_accepted ||
	    !w->reachable || w->restart_seen ||
	    now_us - w->prompt_reply_us > WP_ACK_MAX_REPLY_AGE_US)
		return 0;
	return w->acked_end;
}

bool
wp_renewal_due(struct wp_pool *p, struct wp_worker *w, int64_t now_us,
    struct wp_renewal *renewal)
{
	if (w->renewal_in_flight || now_us < w->renew_at_us || p->superseded ||
	    w->over)
		return false;
	/* No run can be left there, and what it listed last says so. */
	if (!w->listed && wp_is_worker_empty(w) &&
	    now_us > wp_lease_expiry_us(w))
		return false;
	w->renewal_in_flight = true;
	w->renewal_sent_us = now_us;
	w->acked_sent = wp_ack_to_send(w, now_us);
	renewal->acked_end = w->acked_sent;
	renewal->deadline_clock_ms = 0;
	renewal->wait_ms = 0;
	renewal->fence = w->fence;
	w->renewal_fence = w->fence;
	if (!w->token_accepted || !w->reachable || w->unleased || w->unfenced ||
	    w->restart_seen)
		return true;
	renewal->deadline_clock_ms =
	    wp_worker_clock_ms(w, now_us + WP_LEASE_US);
	if (renewal->deadline_clock_ms > w->lease_end_clock_ms)
		w->lease_end_clock_ms = renewal->deadline_clock_ms;
	if (w->last_renewal_us > 0 && w->acked_confirmed == w->processed_end)
		renewal->wait_ms = wp_runs_throttled_tasks(w)
		    ? WP_RENEWAL_WAIT_THROTTLED_MS
		    : WP_RENEWAL_WAIT_MS;
	w->last_renewal_us = now_us;
	return true;
}

/* A worker that still reports an end has not taken its acknowledgement. */
static void
wp_confirm_ack(struct wp_worker *w, const struct wp_renewal_reply *reply)
{
	uint32_t i;

	for (i = 0; i < reply->end_count; i++) {
		if (reply->end[i].number <= w->acked_sent)
			return;
	}
	if (w->acked_sent > w->acked_confirmed)
		w->acked_confirmed = w->acked_sent;
}

static void
wp_update_incarnation(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	if (w->incarnation_ms == reply->incarnation_ms)
		return;
	wp_note_replied(p, w, reply, now_us);
	if (w->incarnation_ms != 0)
		wp_worker_restarted(p, w, reply, now_us);
	else if (w->known_incarnation_ms != 0 &&
	    w->known_incarnation_ms != reply->incarnation_ms)
		wp_expect_unknown_calls(p, w, now_us);
	w->new_to_owner = p->ownership_unconfirmed;
	w->incarnation_ms = reply->incarnation_ms;
	w->incarnation_read_us = now_us;
	wp_read_clock(w, reply->clock_ms, now_us);
}

/*
 * An earlier owner may have renewed its lease until just before. Its calls do
 * nothing any more.
 */
static void
wp_accept_token(
    struct wp_pool *p, struct wp_worker *w, int64_t clock_ms, int64_t now_us)
{
	int64_t until_ms = clock_ms + WP_LEASE_US / CLK_US_PER_MS;

	if (p->term > 0 && !p->knows_registered)
		wp_expect_unknown_calls(p, w, now_us);
	wp_earlier_calls_fenced(p, w, now_us);
	w->token_accepted = true;
	w->earlier_owner_until_us = 0;
	if (until_ms > w->lease_end_clock_ms)
		w->lease_end_clock_ms = until_ms;
}

static void
wp_read_lists(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	w->reachable = true;
	w->over = false;
	w->unreachable_since_us = 0;
	w->cut_at_us = 0;
	w->replaced = false;
	w->blame = WP_BLAME_UNKNOWN;
	w->unanswered_orders = 0;
	if (!w->token_accepted) {
		wp_accept_token(p, w, reply->clock_ms, now_us);
		wp_note_token_accepted(p, w, now_us);
	}
	w->lists_clock_ms = reply->clock_ms;
	w->has_unlisted_ends = reply->end_count >= WP_MAX_LISTED_ENDS;
	wp_note_over_limit(p, w, reply, now_us);
	wp_process_run_ends(p, w, reply, now_us);
	wp_process_running(p, w, reply, now_us);
	wp_strays_read(w, reply->clock_ms);
	wp_requeue_missing(p, w, reply, now_us);
	wp_throttle_opportunistic(p, w, now_us);
}

/* Replies to renewals that were overdue may arrive in any order. */
static bool
wp_is_outdated(const struct wp_worker *w, const struct wp_renewal_reply *reply)
{
	return w->incarnation_ms == reply->incarnation_ms &&
	    reply->clock_ms < w->lists_clock_ms;
}

void
wp_on_overdue_reply(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, uint64_t fence, int64_t now_us)
{
	if (wp_is_outdated(w, reply))
		return;
	/* Which incarnation is the later one, only a prompt reply tells. */
	if (w->incarnation_ms != 0 &&
	    w->incarnation_ms != reply->incarnation_ms) {
		if (reply->incarnation_ms > w->incarnation_ms)
			wp_restart_seen(p, w, now_us);
		return;
	}
	wp_update_incarnation(p, w, reply, now_us);
	/* The reply may be old, so a clock read before may be closer. */
	if (reply->clock_ms > wp_worker_clock_ms(w, now_us))
		wp_read_clock(w, reply->clock_ms, now_us);
	wp_read_lists(p, w, reply, now_us);
	wp_confirm_fence(p, w, fence, now_us);
	w->replied_late = wp_worker_clock_ms(w, now_us) - reply->clock_ms >
	    WP_MAX_REPLY_AGE_MS;
}

void
wp_on_renewal(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	bool first_reply = !w->token_accepted;

	w->renewal_in_flight = false;
	w->prompt_reply_us = now_us;
	w->replied_late = false;
	w->answered_renewal_us = w->renewal_sent_us;
	if (wp_is_outdated(w, reply)) {
		w->renew_at_us = now_us;
		return;
	}
	if (w->restart_seen && w->incarnation_ms == reply->incarnation_ms &&
	    w->answered_renewal_us >= w->restart_seen_us)
		wp_restart_unseen(p, w);
	wp_update_incarnation(p, w, reply, now_us);
	wp_confirm_ack(w, reply);
	wp_read_clock(w, reply->clock_ms, now_us);
	wp_read_lists(p, w, reply, now_us);
	wp_confirm_fence(p, w, w->renewal_fence, now_us);
	if (first_reply)
		w->renew_at_us = now_us;
	else
		w->renew_at_us = now_us +
		    (w->acked_end < w->processed_end
			    ? WP_RENEWAL_UNACKED_PAUSE_US
			    : WP_RENEWAL_PAUSE_US);
}

void
wp_on_renewal_failed(struct wp_pool *p, struct wp_worker *w,
    enum wp_order_result result, int64_t now_us)
{
	w->renewal_in_flight = false;
	w->renew_at_us = now_us + WP_RENEWAL_RETRY_US;
	if (result == WP_REFUSED_STALE_TOKEN) {
		p->superseded = true;
		return;
	}
	if (result == WP_REFUSED_UNHEALTHY &&
	    now_us - w->prompt_reply_us < WP_UNHEALTHY_LIMIT_US)
		return;
	if (w->reachable && result != WP_OVERDUE &&
	    result != WP_REFUSED_UNHEALTHY)
		w->cut_at_us = now_us;
	w->reachable = false;
	w->replaced |= result == WP_REFUSED_INCARNATION;
	if (w->unreachable_since_us == 0) {
		w->unreachable_since_us = now_us;
		w->fell_silent_us = now_us;
	}
}

/* The worker's lease has expired, so all its runs have ended. */
static void
wp_worker_lease_expired(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	p->stats.leases_expired++;
	wp_note_lease_expired(p, w, now_us);
	wp_suspect_tasks(p, w, now_us);
	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		p->stats.displaced++;
		wp_task_requeue(t, now_us);
	}
	wp_forget_orphans(w);
	w->earlier_owner_until_us = 0;
}

/*
 * The confirmed runs of its earlier incarnation have ended. The new one may carry
 * out starts that were not answered.
 */
static void
wp_earlier_incarnation_over(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	wp_suspect_tasks(p, w, now_us);
	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		if (wp_may_start_late(w, t))
			continue;
		p->stats.displaced++;
		wp_task_requeue(t, now_us);
	}
	wp_forget_orphans(w);
	w->earlier_owner_until_us = 0;
}

static void
wp_check_lease(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	/*
	 * While a later owner may exist, the lease may have been renewed
	 * without this owner's knowledge.
	 */
	if (p->ownership_unconfirmed || w->reachable || wp_is_worker_empty(w))
		return;
	if (now_us > wp_lease_expiry_us(w))
		wp_worker_lease_expired(p, w, now_us);
	else if (w->restart_seen && now_us > wp_given_lease_expiry_us(w))
		wp_earlier_incarnation_over(p, w, now_us);
}

/* For the tasks placed there, beside other runs that are or may be there. */
static bool
wp_has_room_for_all(const struct wp_worker *w)
{
	const struct wp_resources none = {0};
	struct wp_resources left = wp_free_resources(w);

	return wp_resources_fit(&left, &none);
}

static void
wp_resend(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	if (t->resend_at_us == 0 || now_us < t->resend_at_us)
		return;
	if (t->state == WP_TASK_STOPPING || t->state == WP_TASK_DONE) {
		wp_task_send_stop(p, t, now_us);
		return;
	}
	if (t->order_in_flight)
		return;
	t->resend_at_us = 0;
	if (t->state != WP_TASK_STARTING)
		return;
	if (t->start_sends >= WP_MAX_SENDS || !t->worker->reachable ||
	    t->worker->draining) {
		wp_task_stop(p, t, now_us);
		return;
	}
	/* The worker's next reports tell whether it has started. */
	if (!t->worker->listed || t->worker->restart_seen ||
	    !wp_knows_capacity(t->worker, now_us) ||
	    !wp_has_room_for_all(t->worker) ||
	    !wp_would_tell(p, t->worker, now_us))
		return;
	wp_task_send_start(p, t,
	    wp_needs_advice(t->step)
		? wp_ticket_valid(t->step, t->worker, now_us)
		: NULL,
	    now_us);
}

/*
 * A draining worker will be replaced, which ends its runs. Tasks that save
 * checkpoints or run until cancelled are moved first; others may finish there.
 */
static void
wp_drain_worker(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		if (t->state == WP_TASK_RUNNING &&
		    (t->step->spec->flags & (JB_CHECKPOINTS | JB_LONG_RUNNING)))
			wp_task_stop(p, t, now_us);
	}
}

static void
wp_worker_tick(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	w->new_to_owner = w->new_to_owner && p->ownership_unconfirmed;
	wp_copy_unreachable(p, w, now_us);
	wp_check_lease(p, w, now_us);
	if (w->draining && w->reachable)
		wp_drain_worker(p, w, now_us);
	else if (w->evacuating && w->reachable)
		wp_evacuate_worker(p, w, now_us);
	wp_move_stragglers(p, w, now_us);
	DL_FOREACH_SAFE(w->tasks, t, tmp)
		wp_resend(p, t, now_us);
	wp_strays_tick(p, w, now_us);
	/* A later owner does not have to wait for a worker that is gone. */
	if (w->registered &&
	    (!wp_needs_registration(w, now_us) ||
		wp_is_registry_outdated(w, now_us)))
		p->registry_dirty = true;
	wp_close_tick(p, w, now_us);
	wp_unleased_tick(p, w, now_us);
}

void
wp_workers_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	wp_over_tick(p, now_us);
	HASH_ITER(hh, p->workers, w, tmp)
		wp_worker_tick(p, w, now_us);
}
