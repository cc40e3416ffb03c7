#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "common/clock.h"
#include "transport/loop.h"

struct loop {
	struct tevent_context *ev;
	struct tevent_threaded_context *tctx;
	pthread_t thread;
	bool stop;
};

struct loop_call {
	void (*fn)(void *arg);
	void *arg;
	int fd;
};

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

static struct timeval
loop_deadline(int64_t delay_us)
{
	return tevent_timeval_current_ofs((uint32_t)(delay_us / CLK_US_PER_S),
	    (uint32_t)(delay_us % CLK_US_PER_S));
}

static void
loop_run_timer(struct tevent_context *ev, struct tevent_timer *te,
    struct timeval now, void *arg)
{
	struct loop_call *call = arg;

	(void)te;
	(void)now;
	(void)ev;
	call->fn(call->arg);
	talloc_free(call);
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

/* Uses a timerfd because tevent's timers follow the wall clock, which may jump. */
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
	struct loop_call *call;

	call = talloc_zero(l, struct loop_call);
	if (call == NULL)
		abort();
	call->fn = fn;
	call->arg = arg;
	if (tevent_add_timer(l->ev, call, loop_deadline(delay_us),
		loop_run_timer, call) == NULL)
		abort();
}
