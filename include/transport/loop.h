#ifndef TRANSPORT_LOOP_H
#define TRANSPORT_LOOP_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct loop;

/**
 * loop_create() - create an event loop; run it with loop_start() or loop_run()
 * @ctx: talloc parent
 *
 * Return: the loop, or NULL when out of memory.
 */
struct loop *loop_create(TALLOC_CTX *ctx);

/**
 * loop_ev() - the tevent context; only for the loop's own thread
 * @l: loop
 */
struct tevent_context *loop_ev(struct loop *l);

/**
 * loop_start() - run the loop in its own thread
 * @l: loop
 *
 * Return: 0 or -1.
 */
int loop_start(struct loop *l);

/**
 * loop_run() - run the loop in the calling thread until loop_stop()
 * @l: loop
 */
void loop_run(struct loop *l);

/**
 * loop_stop() - make the loop return; safe from any thread
 * @l: loop
 */
void loop_stop(struct loop *l);

/**
 * loop_join() - wait for the thread that loop_start() created
 * @l: loop
 */
void loop_join(struct loop *l);

/**
 * loop_post() - run a function on the loop's thread; safe from any thread
 * @l: loop
 * @fn: function
 * @arg: its argument; ownership passes to @fn
 */
void loop_post(struct loop *l, void (*fn)(void *arg), void *arg);

struct loop_call;

/**
 * loop_interval() - like loop_every(), with an interval that can be changed
 *
 * Return: a handle for loop_set_interval(), freed with the loop, or NULL on
 * failure.
 */
struct loop_call *loop_interval(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg);

/** loop_set_interval() - change an interval; 0, or -1 with errno set */
int loop_set_interval(struct loop_call *call, int64_t interval_us);

/**
 * loop_every() - call a function periodically, first after one interval
 * @l: loop
 * @interval_us: interval
 * @fn: function
 * @arg: its argument
 *
 * Return: 0, or -1 on failure.
 */
int loop_every(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg);

struct loop_timer;

/**
 * loop_at() - call a function once at a time; the time of day may be set
 * @ctx: talloc parent; the call is cancelled when it is freed
 * @l: loop
 * @at_us: time, by clk_now_us()
 * @fn: function
 * @arg: its argument
 *
 * The timer is freed just before @fn runs. Freeing it earlier cancels the call.
 *
 * Return: the timer.
 */
struct loop_timer *loop_at(TALLOC_CTX *ctx, struct loop *l, int64_t at_us,
    void (*fn)(void *arg), void *arg);

/**
 * loop_after() - call a function once after a delay
 * @l: loop
 * @delay_us: how long from now
 * @fn: function
 * @arg: its argument
 */
void loop_after(
    struct loop *l, int64_t delay_us, void (*fn)(void *arg), void *arg);

#endif
