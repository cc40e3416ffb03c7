#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utlist.h>

#include "common/clock.h"
#include "transport/loop.h"

/* How often timers are compared with the time of day that tevent goes by. */
#define LOOP_CHECK_CLOCK_US (100 * CLK_US_PER_MS)
/* A larger change means that the time of day was set. */
#define LOOP_CLOCK_STEP_US (10 * CLK_US_PER_MS)

struct loop {
	struct tevent_context *ev;
	struct tevent_threaded_context *tctx;
	pthread_t thread;
	bool stop;
	struct loop_timer *timers;
	int64_t wall_offset_us;
};

struct loop_timer {
	struct loop *loop;
	int64_t at_us;
	struct tevent_timer *event;
	void (*fn)(void *arg);
	void *arg;
	struct loop_timer *prev;
	struct loop_timer *next;
};

struct loop_call {
	void (*fn)(void *arg);
	void *arg;
	int fd;
};

static int64_t
loop_wall_offset_us(void)
{
	struct timeval wall = tevent_timeval_current();

	return wall.tv_sec * CLK_US_PER_S + wall.tv_usec - clk_now_us();
}

static void loop_check_clock(void *arg);

/* Timers that others own may be freed later. */
static int
loop_abandon_timers(struct loop *l)
{
	struct loop_timer *t;

	DL_FOREACH(l->timers, t)
		t->loop = NULL;
	return 0;
}

struct loop *
loop_create(TALLOC_CTX *ctx)
{
	struct loop *l;

	l = talloc_zero(ctx, struct loop);
	if (l == NULL)
		return NULL;
	l->ev = tevent_context_init(l);
	if (l->ev == NULL)
		goto fail;
	l->tctx = tevent_threaded_context_create(l, l->ev);
	if (l->tctx == NULL)
		goto fail;
	talloc_set_destructor(l, loop_abandon_timers);
	l->wall_offset_us = loop_wall_offset_us();
	if (loop_every(l, LOOP_CHECK_CLOCK_US, loop_check_clock, l) == -1)
		goto fail;
	return l;
fail:
	talloc_free(l);
	return NULL;
}

struct tevent_context *
loop_ev(struct loop *l)
{
	return l->ev;
}

void
loop_run(struct loop *l)
{
	while (!l->stop) {
		if (tevent_loop_once(l->ev) == -1)
			return;
	}
}

static void *
loop_thread(void *arg)
{
	loop_run(arg);
	return NULL;
}

int
loop_start(struct loop *l)
{
	return pthread_create(&l->thread, NULL, loop_thread, l) == 0 ? 0 : -1;
}

static void
loop_set_stop(void *arg)
{
	struct loop *l = arg;

	l->stop = true;
}

void
loop_stop(struct loop *l)
{
	loop_post(l, loop_set_stop, l);
}

void
loop_join(struct loop *l)
{
	pthread_join(l->thread, NULL);
}

static void
loop_run_posted(
    struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	struct loop_call *call = arg;

	(void)ev;
	call->fn(call->arg);
	talloc_free(call);
	talloc_free(im);
}

void
loop_post(struct loop *l, void (*fn)(void *arg), void *arg)
{
	struct tevent_immediate *im;
	struct loop_call *call;

	/* No parent: a talloc tree must not be used by two threads. */
	im = tevent_create_immediate(NULL);
	call = talloc_zero(NULL, struct loop_call);
	if (im == NULL || call == NULL)
		abort();
	call->fn = fn;
	call->arg = arg;
	tevent_threaded_schedule_immediate(l->tctx, im, loop_run_posted, call);
}

static void loop_run_timer(struct tevent_context *ev, struct tevent_timer *te,
    struct timeval now, void *arg);

static void
loop_arm_timer(struct loop_timer *t)
{
	int64_t left_us = t->at_us - clk_now_us();

	if (left_us < 0)
		left_us = 0;
	TALLOC_FREE(t->event);
	t->event = tevent_add_timer(t->loop->ev, t,
	    tevent_timeval_current_ofs((uint32_t)(left_us / CLK_US_PER_S),
		(uint32_t)(left_us % CLK_US_PER_S)),
	    loop_run_timer, t);
	if (t->event == NULL)
		abort();
}

static void
loop_run_timer(struct tevent_context *ev, struct tevent_timer *te,
    struct timeval now, void *arg)
{
	struct loop_timer *t = arg;
	void (*fn)(void *arg) = t->fn;
	void *fn_arg = t->arg;

	(void)ev;
	(void)te;
	(void)now;
	t->event = NULL;
	/* The time of day was set forward. */
	if (clk_now_us() < t->at_us) {
		loop_arm_timer(t);
		return;
	}
	talloc_free(t);
	fn(fn_arg);
}

/* tevent's timers follow the time of day, and it may have been set. */
static void
loop_check_clock(void *arg)
{
	struct loop *l = arg;
	int64_t offset_us = loop_wall_offset_us();
	int64_t change_us = offset_us - l->wall_offset_us;
	struct loop_timer *t;

	l->wall_offset_us = offset_us;
	if (change_us > -LOOP_CLOCK_STEP_US && change_us < LOOP_CLOCK_STEP_US)
		return;
	DL_FOREACH(l->timers, t)
		loop_arm_timer(t);
}

static int
loop_unlist_timer(struct loop_timer *t)
{
	if (t->loop != NULL)
		DL_DELETE(t->loop->timers, t);
	return 0;
}

struct loop_timer *
loop_at(TALLOC_CTX *ctx, struct loop *l, int64_t at_us, void (*fn)(void *arg),
    void *arg)
{
	struct loop_timer *t = talloc_zero(ctx, struct loop_timer);

	if (t == NULL)
		abort();
	t->loop = l;
	t->at_us = at_us;
	t->fn = fn;
	t->arg = arg;
	DL_APPEND(l->timers, t);
	talloc_set_destructor(t, loop_unlist_timer);
	loop_arm_timer(t);
	return t;
}

static void
loop_run_interval(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loop_call *call = arg;
	uint64_t expirations;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(call->fd, &expirations, sizeof(expirations)) > 0)
		call->fn(call->arg);
}

static int
loop_close_interval(struct loop_call *call)
{
	if (call->fd != -1)
		close(call->fd);
	return 0;
}

int
loop_set_interval(struct loop_call *call, int64_t interval_us)
{
	struct timespec every = {
	    .tv_sec = interval_us / CLK_US_PER_S,
	    .tv_nsec = interval_us % CLK_US_PER_S * 1000,
	};
	struct itimerspec timer = {.it_interval = every, .it_value = every};

	return timerfd_settime(call->fd, 0, &timer, NULL);
}

/* A timerfd, so that it goes on whatever the time of day is set to. */
struct loop_call *
loop_interval(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg)
{
	struct loop_call *call = talloc_zero(l, struct loop_call);

	if (call == NULL)
		return NULL;
	call->fn = fn;
	call->arg = arg;
	call->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	talloc_set_destructor(call, loop_close_interval);
	if (call->fd == -1 || loop_set_interval(call, interval_us) == -1 ||
	    tevent_add_fd(l->ev, call, call->fd, TEVENT_FD_READ,
		loop_run_interval, call) == NULL) {
		talloc_free(call);
		return NULL;
	}
	return call;
}

int
loop_every(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg)
{
	return loop_interval(l, interval_us, fn, arg) != NULL ? 0 : -1;
}

void
loop_after(struct loop *l, int64_t delay_us, void (*fn)(void *arg), void *arg)
{
	loop_at(l, l, clk_now_us() + delay_us, fn, arg);
}
