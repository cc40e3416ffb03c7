#ifndef TRANSPORT_HTTP_CONNECTIONS_H
#define TRANSPORT_HTTP_CONNECTIONS_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <uthash.h>

#include "common/clock.h"

/**
 * DOC: Connections of an HTTP client, by the host that they lead to.
 *
 * The client library keeps idle connections and tells nothing of them. A host is
 * remembered for as long as it has connections.
 *
 * Connections may go silent without an end, all those to a host at once, while
 * new ones work. The first call that shows it ends the use of the others.
 */

/* A connection on which an answer arrived so recently isn't silent. */
#define HN_PROOF_US (250 * CLK_US_PER_MS)

struct hn_connections;

/**
 * struct hn_call - a call without an answer at the time that it was due
 * @reused: its connection was in use before
 * @heard: a part of the answer has arrived
 * @overdue: its deadline is later, and an answer may still come
 * @begun_us: when the call began
 */
struct hn_call {
	bool reused;
	bool heard;
	bool overdue;
	int64_t begun_us;
};

/**
 * struct hn_history - what late calls to a host have shown
 * @cleared_us: when a call last showed that connections may be silent
 * @slow_until_us: until then, overdue calls are taken to be answered late, as one
 *	was
 */
struct hn_history {
	int64_t cleared_us;
	int64_t slow_until_us;
};

/**
 * struct hn_host - a server
 * @key: IP address and port
 * @list: connections to it
 * @unanswered: calls in a row that had no answer on a reused connection
 * @history: what earlier calls showed
 */
struct hn_host {
	uint64_t key;
	struct hn_connection *list;
	uint32_t unanswered;
	struct hn_history history;
	UT_hash_handle hh;
};

/**
 * struct hn_connection - an open connection
 * @all: table that it is in
 * @host: where it leads
 * @user: pointer of its call to it, reset when it closes or is taken by another
 *	call; NULL for none
 * @opened_us: when it was made
 * @heard_us: when the last answer on it was complete; @opened_us before that
 * @busy: a call is using it
 * @dropped: shut down, so that the library closes it instead of reusing it
 */
struct hn_connection {
	struct hn_connections *all;
	struct hn_host *host;
	struct hn_connection **user;
	int fd;
	int64_t opened_us;
	int64_t heard_us;
	bool busy;
	bool dropped;
	struct hn_connection *prev;
	struct hn_connection *next;
	UT_hash_handle hh;
};

enum hn_verdict {
	HN_KEEP,
	HN_DROP,
};

/**
 * hn_shows_silence() - whether a call shows that connections may be silent
 * @call: the call
 * @history: of its host. Calls that began before an earlier one showed silence
 *	are of the same silence
 * @now_us: the time
 *
 * On a new connection, the host is slow or away.
 */
bool hn_shows_silence(const struct hn_call *call,
    const struct hn_history *history, int64_t now_us);

/**
 * hn_judge() - whether to keep a connection to a host of which others are silent
 * @busy: a call is using it, and has a deadline of its own
 * @heard_us: when the last answer on it arrived
 * @now_us: the time
 */
enum hn_verdict hn_judge(bool busy, int64_t heard_us, int64_t now_us);

/**
 * hn_judge_wait() - whether to go on with a call that waits for news
 * @waiting: the call
 * @heard_us: when the last answer on its connection arrived
 * @late: another call to that host, whose deadline has passed
 * @now_us: the time
 */
enum hn_verdict hn_judge_wait(const struct hn_call *waiting, int64_t heard_us,
    const struct hn_call *late, int64_t now_us);

/**
 * hn_create() - create an empty table
 * @ctx: talloc parent
 *
 * Return: the table or NULL.
 */
struct hn_connections *hn_create(TALLOC_CTX *ctx);

/**
 * hn_set_options() - have connections that a handle makes and closes recorded
 * @all: table
 * @easy: handle
 */
void hn_set_options(struct hn_connections *all, CURL *easy);

/**
 * hn_take() - a call begins to use a connection
 * @all: table
 * @fd: its socket
 * @user: pointer of the call, set to the connection; NULL if it isn't known
 */
void hn_take(
    struct hn_connections *all, curl_socket_t fd, struct hn_connection **user);

/**
 * hn_leave() - no call uses a connection any more
 * @all: table
 * @fd: its socket
 */
void hn_leave(struct hn_connections *all, curl_socket_t fd);

/**
 * hn_forget_user() - a call ends
 * @user: its pointer, which is reset
 */
void hn_forget_user(struct hn_connection **user);

/**
 * hn_on_answer() - the answer to a call is complete
 * @conn: its connection
 * @now_us: the time
 */
void hn_on_answer(struct hn_connection *conn, int64_t now_us);

/**
 * hn_on_late() - a call has no answer at the time that it was due
 * @conn: its connection
 * @call: what is known of the call
 * @now_us: the time
 *
 * Return: how many idle connections to the same host aren't used any more.
 */
uint32_t hn_on_late(
    struct hn_connection *conn, const struct hn_call *call, int64_t now_us);

/**
 * hn_on_late_answer() - a call that was overdue has been answered
 * @conn: its connection
 * @now_us: the time
 *
 * For the time that hn_set_slow_time() has set, the host counts as slow.
 */
void hn_on_late_answer(struct hn_connection *conn, int64_t now_us);

/**
 * hn_set_slow_time() - how long hosts count as slow after a late answer
 * @all: table
 * @slow_us: 0, as at first, for not at all
 */
void hn_set_slow_time(struct hn_connections *all, int64_t slow_us);

#endif
