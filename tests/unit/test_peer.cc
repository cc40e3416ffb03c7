#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <unistd.h>
#include <utility>

#include "loopback.h"
#include "other_side.h"

extern "C" {
#include "common/clock.h"
#include "common/counters.h"
#include "coordination/link_alive.h"
#include "transport/http_server.h"
#include "transport/peer.h"
}

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
/* When a link that is silent from the start has certainly been closed. */
constexpr int64_t kFound = LA_SILENT_US + 3 * LA_CHECK_US;
constexpr int64_t kBeat = LA_HEARTBEAT_US;
/* Below FR_MAX_PAYLOAD_BYTES; several of them fill the sockets' buffers. */
constexpr size_t kLargeBytes = 2000000;
constexpr int kLargeFrames = 8;

/* A net in a thread of its own, and the other side of one link. */
class Peer : public testing::Test
{
      protected:
	Peer()
	{
		Currant__Hello hello = CURRANT__HELLO__INIT;
		char bound[64];
		int fd = hs_listen("127.0.0.1:0", bound, sizeof(bound));

		address = bound;
		hello.version = FR_VERSION;
		hello.vm = hello.domain = hello.token = (char *)"this";
		net = peer_create(l, l, fd, &hello, &hooks, this);
		loop_start(l);
	}

	~Peer() override
	{
		delete other;
		end_loop();
		talloc_free(l);
	}

	void
	accept_link()
	{
		other = new OtherSide(connect_to(address));
	}

	void
	open_link()
	{
		int fd = listen_on_loopback(&address);

		loop_post(
		    l,
		    [](void *arg) {
			    auto *t = (Peer *)arg;

			    peer_connect(t->net, t->address.c_str());
		    },
		    this);
		other = new OtherSide(accept(fd, nullptr, nullptr));
		close(fd);
	}

	void
	end_loop()
	{
		if (!std::exchange(ended, true)) {
			loop_stop(l);
			loop_join(l);
		}
	}

	/* Holds the loop up, as if the process were stopped. */
	void
	pause()
	{
		loop_post(
		    l, [](void *) { usleep((useconds_t)kFound); }, nullptr);
	}

	/* Sends a heartbeat in time, again and again. */
	void
	stay_alive_for(int64_t us)
	{
		int64_t end = clk_now_us() + us;

		while (clk_now_us() < end) {
			other->send_heartbeat();
			other->read_for(kBeat);
		}
	}

	static void
	send_large(void *arg)
	{
		auto *t = (Peer *)arg;
		std::string bytes(kLargeBytes, 'x');
		Currant__NewJob row = CURRANT__NEW_JOB__INIT;
		Currant__Frame frame = CURRANT__FRAME__INIT;

		row.id = (char *)"job";
		row.spec.data = (uint8_t *)bytes.data();
		row.spec.len = bytes.size();
		frame.new_job = &row;
		for (int i = 0; i < kLargeFrames; i++)
			peer_send(peer_find(t->net, 1), &frame);
	}

	static bool
	accept_any(const Currant__Hello *, void *)
	{
		return true;
	}

	static void
	on_frame(struct peer_link *, const Currant__Frame *, void *arg)
	{
		((Peer *)arg)->frames++;
	}

	static void
	on_closed(struct peer_link *, void *arg)
	{
		((Peer *)arg)->closed++;
	}

	struct peer_hooks hooks = {accept_any, on_frame, on_closed};
	struct loop *l = loop_create(nullptr);
	struct peer_net *net;
	std::string address;
	OtherSide *other = nullptr;
	bool ended = false;
	std::atomic<int> frames{0};
	std::atomic<int> closed{0};
};

/* Whether the link was opened or accepted. */
class PeerBothWays : public Peer, public testing::WithParamInterface<bool>
{
      protected:
	void
	begin()
	{
		if (GetParam())
			open_link();
		else
			accept_link();
	}
};

} // namespace

TEST_P(PeerBothWays, LinkThatGoesSilentIsClosedWithoutARequestOverIt)
{
	int64_t began = clk_now_us();
	uint64_t counted = ct_get(CT_PEER_SILENT);

	begin();
	other->send_hello(true);
	other->read_for(kFound);
	EXPECT_TRUE(other->closed);
	EXPECT_GE(clk_now_us() - began, LA_SILENT_US);
	EXPECT_GE(other->heartbeats, 2);
	end_loop();
	EXPECT_EQ(closed, 1);
	EXPECT_EQ(ct_get(CT_PEER_SILENT), counted + 1);
}

TEST_P(PeerBothWays, LinkToAnOlderBuildIsNotTakenForSilent)
{
	begin();
	other->send_hello(false);
	other->read_for(kFound + CLK_US_PER_S);
	EXPECT_FALSE(other->closed);
	EXPECT_EQ(other->hellos, 1);
	EXPECT_EQ(other->heartbeats, 0);
}

TEST_P(PeerBothWays, IdleLinkStaysOpenAndItsHeartbeatsReachNobody)
{
	begin();
	other->send_hello(true);
	stay_alive_for(kFound + CLK_US_PER_S);
	EXPECT_FALSE(other->closed);
	EXPECT_GE(other->heartbeats, 3);
	EXPECT_EQ(frames, 0);
}

INSTANTIATE_TEST_SUITE_P(Links, PeerBothWays, testing::Bool(),
    [](const testing::TestParamInfo<bool> &info) {
	    return info.param ? "Opened" : "Accepted";
    });

TEST_F(Peer, LinkWhoseBytesWaitUnreadAfterAPauseStaysOpen)
{
	accept_link();
	other->send_hello(true);
	stay_alive_for(kBeat);
	pause();
	stay_alive_for(kFound + 2 * CLK_US_PER_S);
	EXPECT_FALSE(other->closed);
	EXPECT_EQ(closed, 0);
}

TEST_F(Peer, LinkBetweenTwoDaemonsThatWerePausedStaysOpen)
{
	accept_link();
	other->send_hello(true);
	stay_alive_for(kBeat);
	pause();
	usleep((useconds_t)(kFound + kBeat));
	stay_alive_for(CLK_US_PER_S);
	EXPECT_FALSE(other->closed);
	EXPECT_EQ(closed, 0);
}

TEST_F(Peer, LinkThatGoesSilentDuringAPauseIsClosed)
{
	accept_link();
	other->send_hello(true);
	stay_alive_for(kBeat);
	pause();
	other->read_for(kFound + 2 * CLK_US_PER_S);
	EXPECT_TRUE(other->closed);
}

TEST_F(Peer, LinkThatAFrameFillsForSecondsStaysOpen)
{
	Currant__NewJob row = CURRANT__NEW_JOB__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	std::string spec(40000, 'x');
	std::string bytes;

	row.id = (char *)"job";
	row.spec.data = (uint8_t *)spec.data();
	row.spec.len = spec.size();
	frame.new_job = &row;
	bytes = packed(frame);
	accept_link();
	other->send_hello(true);
	for (size_t at = 0; at < bytes.size(); at += 4000) {
		other->send(bytes.substr(at, 4000));
		other->read_for(kBeat / 2);
	}
	EXPECT_FALSE(other->closed);
	EXPECT_EQ(frames, 1);
}

TEST_F(Peer, NoHeartbeatWaitsBehindFramesThatFillTheLink)
{
	accept_link();
	other->send_hello(true);
	other->read_for(200 * kMs);
	loop_post(l, send_large, this);
	for (int64_t us = 0; us < kFound + CLK_US_PER_S; us += kBeat) {
		other->send_heartbeat();
		usleep((useconds_t)kBeat);
	}
	EXPECT_EQ(closed, 0);
	other->read_for(kBeat / 2);
	EXPECT_EQ(other->others, kLargeFrames);
	EXPECT_EQ(other->heartbeats, 0);
}
