#ifndef TRANSPORT_HTTP_CONNECTIONS_H
#define TRANSPORT_HTTP_CONNECTIONS_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <uthash.h>

/**
 * DOC: Connections of an HTTP client, by the host that they lead to.
 *
 * The client library keeps idle connections and tells nothing of them. A host is
 * remembered for as long as it has connections.
 */

struct hn_connections;

/**
 * struct hn_host - a server
 * @key: IP address and port
 * @list: connections to it
 * @unanswered: calls in a row that had no answer on a reused connection
 */
struct hn_host {
	uint64_t key;
	struct hn_connection *list;
	uint32_t unanswered;
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
 */
struct hn_connection {
	struct hn_connections *all;
	struct hn_host *host;
	struct hn_connection **user;
	int fd;
	int64_t opened_us;
	int64_t heard_us;
	bool busy;
	struct hn_connection *prev;
	struct hn_connection *next;
	UT_hash_handle hh;
};

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

#endif
