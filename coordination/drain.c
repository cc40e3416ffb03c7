#include "coordination/drain.h"

static int64_t
dr_earlier(int64_t a_us, int64_t b_us)
{
	return a_us < b_us ? a_us : b_us;
}

void
dr_begin(struct dr_drain *d, const struct dr_limits *limits, int64_t now_us)
{
	d->step = DR_SERVING;
	d->end_by_us = now_us + limits->end_us;
	d->answer_by_us = d->end_by_us - limits->flush_us;
	if (d->answer_by_us < now_us)
		d->answer_by_us = now_us;
	d->close_us = dr_earlier(now_us + limits->unready_us, d->answer_by_us);
	d->fresh_us = limits->fresh_us;
}

static bool
dr_may_end(const struct dr_drain *d, const struct dr_view *v, int64_t now_us)
{
	if (now_us >= d->end_by_us)
		return true;
	if (v->requests > 0 || v->has_duties)
		return false;
	return v->fresh == 0 || now_us >= d->fresh_until_us;
}

enum dr_step
dr_next(struct dr_drain *d, const struct dr_view *v, int64_t now_us)
{
	switch (d->step) {
	case DR_SERVING:
		if (now_us < d->close_us)
			break;
		d->step = DR_CLOSING;
		d->fresh_until_us = now_us + d->fresh_us;
		break;
	case DR_CLOSING:
		if (dr_may_end(d, v, now_us))
			d->step = DR_ENDED;
		break;
	case DR_ENDED:
		break;
	}
	return d->step;
}

bool
dr_is_overdue(const struct dr_drain *d, int64_t now_us)
{
	return now_us >= d->answer_by_us;
}
