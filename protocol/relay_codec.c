#include <stdlib.h>
#include <string.h>

#include "protocol/pack.h"
#include "protocol/relay_codec.h"

static bool
rc_is_present(const char *text)
{
	return text != NULL && text[0] != '\0';
}

static bool
rc_read_ref(struct jb_ref *ref, const char *job, uint32_t occurrence,
    uint32_t step, uint32_t index)
{
	if (strlen(job) != JB_ID_LENGTH)
		return false;
	memcpy(ref->job, job, JB_ID_BYTES);
	ref->occurrence = occurrence;
	ref->step = step;
	ref->index = index;
	return true;
}

enum wp_order_result
rc_unpack_order_result(uint32_t result)
{
	return result < WP_NO_ANSWER ? (enum wp_order_result)result
				     : WP_NO_ANSWER;
}

enum wp_order_result
rc_unpack_renewal_result(uint32_t result)
{
	return result == WP_OVERDUE ? WP_OVERDUE
				    : rc_unpack_order_result(result);
}

void
rc_pack_order(Currant__RelayedOrder *m, uint64_t id, const struct wp_order *o,
    uint64_t fence)
{
	currant__relayed_order__init(m);
	m->id = id;
	m->kind = (uint32_t)o->kind;
	m->worker = pk_text(o->worker);
	m->address = pk_text(o->address);
	m->job = pk_text(o->ref.job);
	m->has_occurrence = o->ref.occurrence != 0;
	m->occurrence = o->ref.occurrence;
	m->has_step = o->ref.step != 0;
	m->step = o->ref.step;
	m->has_index = o->ref.index != 0;
	m->index = o->ref.index;
	m->run = o->run;
	m->fence = fence;
	m->payload = pk_text(o->payload);
	m->checkpoint = o->checkpoint;
	m->ticket = o->ticket;
	m->has_deadline_clock_ms = o->kind == WP_ORDER_START;
	m->deadline_clock_ms = o->deadline_clock_ms;
	m->has_percent = o->kind == WP_ORDER_PACE;
	m->percent = o->percent;
}

bool
rc_unpack_order(const Currant__RelayedOrder *m, struct wp_order *o)
{
	memset(o, 0, sizeof(*o));
	if (m->kind > WP_ORDER_PACE || !rc_is_present(m->worker) ||
	    !rc_is_present(m->address) ||
	    !rc_read_ref(&o->ref, m->job, m->occurrence, m->step, m->index))
		return false;
	o->kind = (enum wp_order_kind)m->kind;
	if (o->kind == WP_ORDER_START &&
	    (m->payload == NULL || !m->has_deadline_clock_ms))
		return false;
	o->worker = m->worker;
	o->address = m->address;
	o->run = m->run;
	o->payload = m->payload;
	o->checkpoint = m->checkpoint;
	o->ticket = m->ticket;
	o->deadline_clock_ms = m->deadline_clock_ms;
	o->percent = m->percent;
	return true;
}

void
rc_pack_renewal(Currant__RelayedHold *m, uint64_t id, const struct wp_worker *w,
    const struct wp_renewal *renewal, uint64_t fence)
{
	currant__relayed_hold__init(m);
	m->id = id;
	m->worker = pk_text(w->id);
	m->address = pk_text(w->address);
	m->fence = fence;
	m->acked_end = renewal->acked_end;
	m->has_deadline_clock_ms = renewal->deadline_clock_ms != 0;
	m->deadline_clock_ms = renewal->deadline_clock_ms;
	m->has_wait_ms = renewal->wait_ms != 0;
	m->wait_ms = renewal->wait_ms;
}

bool
rc_unpack_renewal(const Currant__RelayedHold *m, struct wp_worker *w,
    struct wp_renewal *renewal)
{
	memset(w, 0, sizeof(*w));
	if (!rc_is_present(m->worker) || !rc_is_present(m->address))
		return false;
	w->id = m->worker;
	w->address = m->address;
	renewal->acked_end = m->acked_end;
	renewal->deadline_clock_ms = m->deadline_clock_ms;
	renewal->wait_ms = m->wait_ms;
	return true;
}

void
rc_limit_late_renewal(struct wp_renewal *renewal)
{
	renewal->acked_end = 0;
	renewal->deadline_clock_ms = 0;
}

static void
rc_pack_running(Currant__RunningTask *m, const struct wp_running_task *r)
{
	currant__running_task__init(m);
	m->job = pk_text(r->ref.job);
	m->has_occurrence = r->ref.occurrence != 0;
	m->occurrence = r->ref.occurrence;
	m->has_step = r->ref.step != 0;
	m->step = r->ref.step;
	m->has_index = r->ref.index != 0;
	m->index = r->ref.index;
	m->run = r->run;
	m->checkpoint = pk_text(r->checkpoint);
	m->has_percent = r->percent != 0;
	m->percent = r->percent;
	m->has_figure = r->load != 0;
	m->figure = r->load;
}

static void
rc_pack_end(Currant__EndedRun *m, const struct wp_run_end *e)
{
	currant__ended_run__init(m);
	m->number = e->number;
	m->job = pk_text(e->ref.job);
	m->has_occurrence = e->ref.occurrence != 0;
	m->occurrence = e->ref.occurrence;
	m->has_step = e->ref.step != 0;
	m->step = e->ref.step;
	m->has_index = e->ref.index != 0;
	m->index = e->ref.index;
	m->run = e->run;
	m->how = (uint32_t)e->outcome;
	m->checkpoint = pk_text(e->checkpoint);
}

void
rc_pack_renewal_reply(TALLOC_CTX *ctx, Currant__RelayedHoldResult *m,
    const struct wp_renewal_reply *reply)
{
	uint32_t running = reply->running_count;
	uint32_t ends = reply->end_count;
	Currant__RunningTask *task =
	    talloc_array(ctx, Currant__RunningTask, running + 1);
	Currant__EndedRun *end = talloc_array(ctx, Currant__EndedRun, ends + 1);
	uint32_t i;

	m->running = talloc_array(ctx, Currant__RunningTask *, running + 1);
	m->ended = talloc_array(ctx, Currant__EndedRun *, ends + 1);
	if (task == NULL || end == NULL || m->running == NULL ||
	    m->ended == NULL)
		abort();
	m->has_born_ms = true;
	m->born_ms = reply->incarnation_ms;
	m->has_clock_ms = true;
	m->clock_ms = reply->clock_ms;
	for (i = 0; i < running; i++) {
		rc_pack_running(&task[i], &reply->running[i]);
		m->running[m->n_running++] = &task[i];
	}
	for (i = 0; i < ends; i++) {
		rc_pack_end(&end[i], &reply->end[i]);
		m->ended[m->n_ended++] = &end[i];
	}
}

static bool
rc_unpack_running(const Currant__RunningTask *m, struct wp_running_task *r)
{
	r->run = m->run;
	r->checkpoint = m->checkpoint;
	r->percent = m->percent;
	r->load = m->figure;
	return rc_read_ref(&r->ref, m->job, m->occurrence, m->step, m->index);
}

static bool
rc_unpack_end(const Currant__EndedRun *m, struct wp_run_end *e)
{
	e->number = m->number;
	e->run = m->run;
	e->outcome = (enum wp_run_outcome)m->how;
	e->checkpoint = m->checkpoint;
	return m->how <= WP_END_GANG_TIMEOUT &&
	    rc_read_ref(&e->ref, m->job, m->occurrence, m->step, m->index);
}

/*
 * One invalid row fails the whole reply: leaving it out would report that its
 * task does not run.
 */
bool
rc_unpack_renewal_reply(TALLOC_CTX *ctx, const Currant__RelayedHoldResult *m,
    struct wp_renewal_reply *reply)
{
	size_t i;

	memset(reply, 0, sizeof(*reply));
	if (!m->has_born_ms || !m->has_clock_ms)
		return false;
	reply->incarnation_ms = m->born_ms;
	reply->clock_ms = m->clock_ms;
	reply->running =
	    talloc_zero_array(ctx, struct wp_running_task, m->n_running + 1);
	reply->end = talloc_zero_array(ctx, struct wp_run_end, m->n_ended + 1);
	if (reply->running == NULL || reply->end == NULL)
		abort();
	for (i = 0; i < m->n_running; i++) {
		if (!rc_unpack_running(
			m->running[i], &reply->running[reply->running_count++]))
			return false;
	}
	for (i = 0; i < m->n_ended; i++) {
		if (!rc_unpack_end(
			m->ended[i], &reply->end[reply->end_count++]))
			return false;
	}
	return true;
}
