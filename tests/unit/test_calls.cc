#include <gtest/gtest.h>

#include "other_side.h"

extern "C" {
#include "calls_daemon.h"
#include "common/clock.h"
#include "transport/http_server.h"
}

/* Calls to another daemon over a link of which the end isn't known yet. */
namespace
{

class Calls : public testing::Test
{
      protected:
	Calls()
	{
		Currant__Hello hello = CURRANT__HELLO__INIT;
		char bound[64];
		int fd = hs_listen("127.0.0.1:0", bound, sizeof(bound));

		hello.version = FR_VERSION;
		hello.vm = hello.domain = hello.token = (char *)"this";
		net = peer_create(l, l, fd, &hello, &hooks, this);
		other_fd = connect_to(bound);
		while (peer_find(net, 1) == nullptr)
			tevent_loop_once(loop_ev(l));
	}

	~Calls() override
	{
		talloc_free(l);
	}

	/* The other side is gone, and this one hasn't looked yet. */
	void
	reset_link()
	{
		struct linger abort = {1, 0};

		setsockopt(
		    other_fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
		close(other_fd);
		usleep(10000);
	}

	void
	establish()
	{
		Currant__Hello hello = CURRANT__HELLO__INIT;
		Currant__Frame frame = CURRANT__FRAME__INIT;
		std::string bytes;

		hello.version = FR_VERSION;
		hello.vm = hello.domain = hello.token = (char *)"other";
		frame.hello = &hello;
		bytes = packed(frame);
		send(other_fd, bytes.data(), bytes.size(), 0);
		while (!peer_established(peer_find(net, 1)))
			tevent_loop_once(loop_ev(l));
	}

	static bool
	accept_any(const Currant__Hello *, void *)
	{
		return true;
	}

	static void
	on_frame(struct peer_link *, const Currant__Frame *, void *)
	{
	}

	static void
	on_closed(struct peer_link *link, void *arg)
	{
		((Calls *)arg)->closed++;
		cd_on_closed(((Calls *)arg)->calls, link);
	}

	static void
	on_reply(const Currant__Reply *reply, void *arg)
	{
		((Calls *)arg)->replies++;
		((Calls *)arg)->status = reply->status;
	}

	struct peer_hooks hooks = {accept_any, on_frame, on_closed};
	struct loop *l = loop_create(nullptr);
	struct call_table *calls = cd_create(l);
	struct peer_net *net;
	int other_fd;
	int closed = 0;
	int replies = 0;
	uint32_t status = 0;
};

/* It was listed after the link's end, and waited for its whole deadline. */
TEST_F(Calls, CallWhoseSendFindsTheLinkBrokenEndsAtOnce)
{
	establish();
	reset_link();
	cd_call(calls, peer_find(net, 1), clk_now_us() + 60 * CLK_US_PER_S,
	    on_reply, this);
	EXPECT_EQ(closed, 1);
	EXPECT_EQ(replies, 1);
	EXPECT_EQ(status, 504U);
}

} // namespace
