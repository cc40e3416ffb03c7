#include <errno.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "transport/http_server_internal.h"

/* For handshakes that have begun when the server stops accepting. */
#define HS_HANDSHAKE_US (50 * CLK_US_PER_MS)

void
hs_begin_drain(struct http_server *hs)
{
	hs->draining = true;
}

/* Drops the first segment of each handshake; those under way complete. */
static void
hs_refuse_handshakes(int listener)
{
	enum { TCP_FLAGS_OFFSET = 13, TCP_FLAG_SYN = 0x02 };
	struct sock_filter code[] = {
	    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
	    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN, 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {
	    .len = sizeof(code) / sizeof(code[0]),
	    .filter = code,
	};

	/* Without it, a connection that is made just now may be cut. */
	if (setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)) == -1)
		lg_event(LG_WARN, "http", "no_filter", "error", strerror(errno),
		    NULL);
}

/* What has arrived on them is still read and answered. */
static void
hs_close_idle(struct http_server *hs)
{
	const union MHD_ConnectionInfo *info;
	struct hs_caller *caller;

	LIST_FOREACH(caller, &hs->callers, link)
	{
		if (caller->fresh || caller->busy)
			continue;
		info = MHD_get_connection_info(
		    caller->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (info != NULL)
			shutdown(info->connect_fd, SHUT_RD);
	}
	hs_run(hs);
}

static void
hs_accept_all(struct http_server *hs)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	int fd;

	while ((fd = accept4(hs->listener, (struct sockaddr *)&sin, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1) {
		MHD_add_connection(hs->mhd, fd, (struct sockaddr *)&sin, len);
		len = sizeof(sin);
	}
}

static void
hs_close_listener(void *arg)
{
	struct http_server *hs = arg;

	if (hs->mhd == NULL)
		return;
	hs_accept_all(hs);
	close(hs->listener);
	hs_run(hs);
	atomic_fetch_sub(&hs->fresh, 1);
}

void
hs_stop_accepting(struct http_server *hs)
{
	hs->listener = MHD_quiesce_daemon(hs->mhd);
	if (hs->listener == MHD_INVALID_SOCKET)
		return;
	/* One that may be in its handshake. */
	atomic_fetch_add(&hs->fresh, 1);
	hs_refuse_handshakes(hs->listener);
	/* Those that wait in the listen queue need their places. */
	if (atomic_load(&hs->connections) >= hs->max_connections)
		hs_close_idle(hs);
	hs_accept_all(hs);
	hs_run(hs);
	loop_after(hs->loop, HS_HANDSHAKE_US, hs_close_listener, hs);
}

void
hs_answer_overdue(struct http_server *hs)
{
	struct hs_exchange *ex;

	/* A response only resumes a connection; hs_run() changes the list. */
	LIST_FOREACH(ex, &hs->unanswered, link)
	{
		if (ex->response != NULL || ex->req.overdue == NULL)
			continue;
		ct_add(CT_HTTP_AT_END, 1);
		ex->req.overdue(ex->req.overdue_arg);
	}
	hs_run(hs);
}

void
hs_stop(struct http_server *hs)
{
	TALLOC_FREE(hs->timer);
	TALLOC_FREE(hs->fde);
	if (atomic_load(&hs->in_phase[HS_UNANSWERED]) == 0)
		MHD_stop_daemon(hs->mhd);
	hs->mhd = NULL;
}
