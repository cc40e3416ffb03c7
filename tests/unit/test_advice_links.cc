#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "other_side.h"

extern "C" {
#include "curranttackd/cell_advice_internal.h"
#include "curranttackd/cell_peers.h"
#include "transport/http_server.h"
}

/* This daemon only serves requests, and sends none. */
extern "C" struct peer_link *
pn_link(struct pn_links *, const char *)
{
	return nullptr;
}

namespace
{

struct Asked {
	std::string job;
	fl_advice_fn done;
	void *arg;
};

/* A daemon that asks the service for its peers, on this thread. */
class AdviceLinks : public testing::Test
{
      protected:
	AdviceLinks()
	{
		Currant__Hello hello = CURRANT__HELLO__INIT;
		char bound[64];
		int fd = hs_listen("127.0.0.1:0", bound, sizeof(bound));

		address = bound;
		hello.version = FR_VERSION;
		hello.vm = hello.domain = hello.token = (char *)"this";
		fleet.advice = &ops;
		fleet.handle = this;
		settings.vm = (char *)"this";
		c->settings = &settings;
		c->loop = loop_create(c);
		c->fleet = &fleet;
		c->peers = peer_create(c, c->loop, fd, &hello, &hooks, this);
		c->advice = av_create(c);
	}

	~AdviceLinks() override
	{
		talloc_free(c);
	}

	/* Runs the loop until so many links have been closed, or requests made. */
	void
	run_until(const size_t &n, size_t wanted)
	{
		int64_t end = clk_now_us() + CLK_US_PER_S;

		while (n < wanted && clk_now_us() < end)
			tevent_loop_once(loop_ev(c->loop));
		ASSERT_GE(n, wanted);
	}

	static void
	ask(OtherSide &peer, uint64_t id, const std::string &job)
	{
		Currant__AdviceAsk row = CURRANT__ADVICE_ASK__INIT;
		Currant__Frame frame = CURRANT__FRAME__INIT;

		row.id = id;
		row.job = (char *)job.c_str();
		row.cost_us = 1000;
		frame.advice_ask = &row;
		peer.send(packed(frame));
	}

	void
	answer_all()
	{
		for (size_t i = 0; i < asked.size(); i++)
			asked[i].done(false, nullptr, 0, asked[i].arg);
	}

	std::vector<std::string>
	asked_jobs() const
	{
		std::vector<std::string> jobs;

		for (const Asked &a : asked)
			jobs.push_back(a.job);
		return jobs;
	}

	static void
	request(void *handle, const struct wp_advice_request *req, int64_t,
	    fl_advice_fn done, void *arg)
	{
		((AdviceLinks *)handle)->asked.push_back({req->job, done, arg});
	}

	static bool
	accept_any(const Currant__Hello *, void *)
	{
		return true;
	}

	static void
	on_frame(struct peer_link *link, const Currant__Frame *frame, void *arg)
	{
		auto *t = (AdviceLinks *)arg;

		av_on_peer_request(t->c->advice, link, frame->advice_ask);
		t->frames++;
	}

	static void
	on_closed(struct peer_link *link, void *arg)
	{
		auto *t = (AdviceLinks *)arg;

		av_on_closed(t->c->advice, link);
		t->closed++;
	}

	struct fl_advice_ops ops = {request};
	struct fl_fleet fleet = {};
	struct cell_settings settings = {};
	struct peer_hooks hooks = {accept_any, on_frame, on_closed};
	struct cell *c = talloc_zero(nullptr, struct cell);
	std::string address;
	std::vector<Asked> asked;
	size_t frames = 0;
	size_t closed = 0;
};

} // namespace

/* Its sender has asked again elsewhere, and the service answers one at a time. */
TEST_F(AdviceLinks, QueuedRequestsOfAClosedLinkDoNotHoldUpOthers)
{
	OtherSide other(connect_to(address));

	{
		OtherSide owner(connect_to(address));

		owner.send_hello(true);
		for (const char *job : {"a", "b", "c", "d"})
			ask(owner, 1, job);
		run_until(frames, 4);
	}
	run_until(closed, 1);
	other.send_hello(true);
	ask(other, 1, "e");
	run_until(frames, 5);
	answer_all();
	EXPECT_EQ(asked_jobs(), (std::vector<std::string>{"a", "b", "e"}));
}
