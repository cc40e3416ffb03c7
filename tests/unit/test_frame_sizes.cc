#include <gtest/gtest.h>

#include <functional>

#include "owner_net.h"

extern "C" {
#include "curranttackd/cell_advice_internal.h"
#include "curranttackd/cell_relay.h"
#include "protocol/frame.h"
}

/*
 * What daemons send each other for workers and the advice service holds texts of
 * others. A frame that it made too large was not sent, and its calls were made
 * again and again without an answer.
 */

namespace
{

constexpr uint32_t kEnds = 500;
constexpr size_t kCheckpointBytes = 8000;

struct Calls {
	std::vector<size_t> relayed_orders; /* in each frame */
	std::vector<std::string> direct_tickets;
	uint32_t direct_renewals = 0;
	uint32_t frames_too_large = 0;
	std::function<void(const Currant__Frame *)> on_frame;
};

Calls *calls;

void
order_directly(void *handle, const struct wp_order *o, uint64_t fence,
    fl_order_fn done, void *arg)
{
	(void)handle;
	(void)fence;
	calls->direct_tickets.emplace_back(o->ticket);
	done(WP_ACCEPTED, 0, arg);
}

/* The worker lists ends with long checkpoints. */
void
renew_directly(void *handle, const struct wp_worker *w,
    const struct wp_renewal *renewal, uint64_t fence, fl_renewal_fn done,
    void *arg)
{
	std::string checkpoint(kCheckpointBytes, 'c');
	std::vector<struct wp_run_end> ends(kEnds);
	struct wp_renewal_reply reply = {};

	(void)handle;
	(void)w;
	(void)renewal;
	(void)fence;
	for (uint32_t i = 0; i < kEnds; i++) {
		struct wp_run_end *e = &ends[i];

		snprintf(e->ref.job, sizeof(e->ref.job), "%016x", i);
		e->number = i + 1;
		e->run = 1;
		e->checkpoint = checkpoint.c_str();
	}
	reply.end = ends.data();
	reply.end_count = kEnds;
	calls->direct_renewals++;
	done(WP_ACCEPTED, &reply, arg);
}

const struct fl_worker_ops worker_ops = {order_directly, renew_directly};

} // namespace

extern "C" bool
rp_owns_any(const struct replica *r, const char *vm)
{
	(void)r;
	(void)vm;
	return false;
}

extern "C" const char *
peer_vm(const struct peer_link *link)
{
	return link->vm.c_str();
}

extern "C" bool
peer_send(struct peer_link *link, const Currant__Frame *frame)
{
	size_t bytes;
	uint8_t *packed = fr_pack(frame, &bytes);

	(void)link;
	if (packed == nullptr) {
		calls->frames_too_large++;
		return false;
	}
	free(packed);
	if (frame->n_relayed_orders > 0)
		calls->relayed_orders.push_back(frame->n_relayed_orders);
	if (calls->on_frame)
		calls->on_frame(frame);
	return true;
}

namespace
{

class FrameSizes : public testing::Test
{
      protected:
	FrameSizes()
	{
		calls = &made;
		world.fleet.workers = &worker_ops;
		c->relay = rl_create(c);
		world.add_daemon("vm-a", "a");
		rl_tick(c->relay, world.now);
		w.id = "worker";
		w.address = "127.0.0.1:1";
		w.domain = "a";
	}

	~FrameSizes()
	{
		calls = nullptr;
	}

	void
	order(const std::string &ticket)
	{
		struct wp_order o = {};

		o.worker = w.id;
		o.address = w.address;
		o.payload = "spec";
		o.ticket = (char *)ticket.c_str();
		rl_order(c->relay, &w, &o, 1, true, on_order, this);
	}

	static void
	on_order(enum wp_order_result result, int64_t clock_ms, void *arg)
	{
		(void)result;
		(void)clock_ms;
		(void)arg;
	}

	static void
	on_renewal(enum wp_order_result result,
	    const struct wp_renewal_reply *reply, void *arg)
	{
		auto *t = static_cast<FrameSizes *>(arg);

		EXPECT_EQ(result, WP_ACCEPTED);
		t->ends_read = reply != nullptr ? reply->end_count : 0;
	}

	OwnerNet world{"owner"};
	struct cell *c = world.cell;
	struct wp_worker w = {};
	Calls made;
	uint32_t ends_read = 0;
};

TEST_F(FrameSizes, OrdersOfABatchFitTheirFrame)
{
	const std::string ticket(70000, 't');
	size_t sum = 0;

	for (int i = 0; i < 64; i++)
		order(ticket);
	rl_flush(c->relay);
	EXPECT_EQ(made.frames_too_large, 0U);
	for (size_t n : made.relayed_orders)
		sum += n;
	EXPECT_EQ(sum, 64U);
	EXPECT_TRUE(made.direct_tickets.empty());
}

TEST_F(FrameSizes, OrderThatNoFrameHoldsGoesToTheWorkerDirectly)
{
	const std::string ticket(FR_MAX_PAYLOAD_BYTES, 't');

	order(ticket);
	rl_flush(c->relay);
	EXPECT_EQ(made.frames_too_large, 0U);
	ASSERT_EQ(made.direct_tickets.size(), 1U);
	EXPECT_EQ(made.direct_tickets[0], ticket);
}

/* One daemon is the owner and its relay. */
TEST_F(FrameSizes, ReplyThatNoFrameHoldsIsReadFromTheWorkerDirectly)
{
	struct wp_renewal renewal = {};

	made.on_frame = [&](const Currant__Frame *frame) {
		struct peer_link *link = world.links.at("vm-a");

		if (frame->n_relayed_holds > 0)
			rl_serve(c, link, frame);
		if (frame->n_hold_results > 0)
			rl_on_results(c->relay, frame);
	};
	rl_renew(c->relay, &w, &renewal, 1, true, on_renewal, this);
	rl_flush(c->relay);
	EXPECT_EQ(made.frames_too_large, 0U);
	EXPECT_EQ(made.direct_renewals, 2U);
	EXPECT_EQ(ends_read, kEnds);
}

TEST_F(FrameSizes, ApprovalsThatNoFrameHoldsAreLeftOut)
{
	for (size_t bytes : {100, 70000, 3 << 20}) {
		const std::string ticket(bytes, 't');
		std::vector<struct wp_approval> rows(
		    WP_MAX_ADVICE_WORKERS, {"worker", ticket.c_str()});
		struct av_dispatcher d = {};
		struct av_request req = {};
		size_t passed_on = 0;
		bool ok = false;

		d.c = c;
		req.d = &d;
		req.origin_link = peer_serial(world.links.at("vm-a"));
		made.on_frame = [&](const Currant__Frame *frame) {
			passed_on = frame->advice_answer->n_good;
			ok = frame->advice_answer->ok;
		};
		av_respond_to_peer(
		    &req, true, rows.data(), (uint32_t)rows.size());
		EXPECT_EQ(made.frames_too_large, 0U) << bytes;
		EXPECT_EQ(ok, bytes < FR_MAX_PAYLOAD_BYTES) << bytes;
		EXPECT_EQ(passed_on > 0, ok) << bytes;
		EXPECT_EQ(passed_on == rows.size(), bytes == 100) << bytes;
	}
}

} // namespace
