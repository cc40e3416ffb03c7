#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

#include "owner_net.h"

extern "C" {
#include "curranttackd/cell_advice_internal.h"
#include "curranttackd/cell_pool.h"
}

/*
 * Where an owner's advice requests go while links to daemons fail. The dispatcher
 * is the real one.
 */

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;

struct Sent {
	std::string vm;
	uint64_t id;
};

/* What the dispatcher did. */
struct Calls {
	std::vector<Sent> sent;
	std::vector<std::pair<fl_advice_fn, void *>> local;
	std::function<void(const std::string &)> on_reset;
};

Calls *calls;

void
request_advice(void *handle, const struct wp_advice_request *request,
    int64_t deadline_us, fl_advice_fn done, void *arg)
{
	(void)handle;
	(void)request;
	(void)deadline_us;
	calls->local.emplace_back(done, arg);
}

const struct fl_advice_ops advice_ops = {request_advice};

} // namespace

extern "C" uint32_t
cp_owned_count(const struct cell *c)
{
	(void)c;
	return 1;
}

extern "C" void
pn_reset_link(struct pn_links *n, const char *vm)
{
	if (pn_link(n, vm) == nullptr)
		return;
	av_on_closed(owner_net->cell->advice, owner_net->disconnect(vm));
	if (calls->on_reset)
		calls->on_reset(vm);
}

extern "C" bool
peer_send(struct peer_link *link, const Currant__Frame *frame)
{
	calls->sent.push_back({link->vm, frame->advice_ask->id});
	return true;
}

namespace
{

/* The owner is on vm-1, which isn't kept for short requests, as vm-2. */
class Advice : public testing::Test
{
      protected:
	Advice()
	{
		calls = &made;
		world.fleet.advice = &advice_ops;
		for (int i = 0; i < 7; i++)
			world.add_daemon("vm-" + std::to_string(i));
		c->advice = av_create(c);
		tick(0);
	}

	~Advice()
	{
		calls = nullptr;
	}

	void
	submit(int64_t cost_us)
	{
		struct wp_advice_request r = {};

		snprintf(r.job, sizeof(r.job), "%016x", 1);
		r.base_cost_us = (uint32_t)cost_us;
		av_submit(c->advice, &r, on_advice, this);
	}

	static void
	on_advice(bool ok, const struct wp_approval *approved, uint32_t count,
	    void *arg)
	{
		auto *t = static_cast<Advice *>(arg);

		(void)approved;
		(void)count;
		(ok ? t->answered : t->failed)++;
	}

	void
	answer(const Sent &s, bool ok)
	{
		Currant__AdviceAnswer a = CURRANT__ADVICE_ANSWER__INIT;

		a.id = s.id;
		a.ok = ok;
		ASSERT_NE(pn_link(c->links, s.vm.c_str()), nullptr) << s.vm;
		world.links[s.vm]->heard_us = world.now;
		av_on_peer_answer(c->advice, world.links[s.vm], &a);
	}

	void
	answer_local(bool ok)
	{
		auto call = made.local.front();

		made.local.erase(made.local.begin());
		call.first(ok, nullptr, 0, call.second);
	}

	void
	tick(int64_t us)
	{
		int64_t end = world.now + us;

		do {
			world.now = std::min(world.now + 25 * kMs, end);
			av_tick(c->advice, world.now);
		} while (world.now < end);
	}

	std::vector<std::string>
	receivers() const
	{
		std::vector<std::string> list;

		for (const auto &s : made.sent)
			list.push_back(s.vm);
		return list;
	}

	OwnerNet world{"vm-1"};
	struct cell *c = world.cell;
	Calls made;
	int answered = 0;
	int failed = 0;
};

using Names = std::vector<std::string>;

/*
 * LOST: a new owner found the links of most daemons silent, and these were asked
 * last for the rest of the day though their new links were sound.
 */
TEST_F(Advice, DaemonWhoseLinkClosedIsAskedAgainOverItsNextLink)
{
	submit(20 * kMs);
	ASSERT_EQ(receivers(), Names({"vm-0"}));
	pn_reset_link(c->links, "vm-0");
	EXPECT_EQ(failed, 1);
	world.connect("vm-0");
	tick(100 * kMs);
	submit(20 * kMs);
	EXPECT_EQ(receivers(), Names({"vm-0", "vm-0"}));
}

TEST_F(Advice, DaemonWhoseSilentLinkWasResetIsAskedAgainOverItsNextLink)
{
	made.on_reset = [this](const std::string &vm) { world.connect(vm); };
	submit(20 * kMs);
	ASSERT_EQ(receivers(), Names({"vm-0"}));
	tick(1600 * kMs);
	EXPECT_EQ(failed, 1);
	tick(1100 * kMs);
	submit(20 * kMs);
	EXPECT_EQ(receivers(), Names({"vm-0", "vm-0"}));
}

/* Its link is sound: a new one changes nothing. */
TEST_F(Advice, DaemonThatDoesNotAnswerOverASoundLinkIsAskedAfterOthers)
{
	made.on_reset = [this](const std::string &vm) { world.connect(vm); };
	submit(20 * kMs);
	tick(1 * kS);
	world.links["vm-0"]->heard_us = world.now;
	tick(600 * kMs);
	EXPECT_EQ(failed, 1);
	tick(1100 * kMs);
	submit(20 * kMs);
	EXPECT_EQ(receivers(), Names({"vm-0", "vm-3"}));
}

TEST_F(Advice, DaemonWhoseCallFailedIsAskedAfterOthers)
{
	submit(20 * kMs);
	answer(made.sent[0], false);
	submit(20 * kMs);
	EXPECT_EQ(receivers(), Names({"vm-0", "vm-3"}));
}

TEST_F(Advice, MarkOfThisDaemonEnds)
{
	submit(600 * kMs);
	ASSERT_EQ(made.local.size(), 1u);
	answer_local(false);
	submit(600 * kMs);
	EXPECT_EQ(receivers(), Names({"vm-2"}));
	submit(600 * kMs);
	submit(600 * kMs);
	EXPECT_TRUE(made.local.empty());
	answer(made.sent[0], true);
	tick(1 * kS);
	for (size_t i = 1; i < 3; i++)
		answer(made.sent[i], true);
	tick(4 * kS);
	for (int i = 0; i < 4; i++)
		submit(600 * kMs);
	EXPECT_EQ(made.local.size(), 1u);
}

TEST_F(Advice, CallForAPeerThatSucceedsClearsTheMarkOfThisDaemon)
{
	Currant__AdviceAsk ask = CURRANT__ADVICE_ASK__INIT;
	char job[] = "0000000000000002";

	submit(600 * kMs);
	answer_local(false);
	ask.id = 7;
	ask.job = job;
	av_on_peer_request(c->advice, world.links["vm-2"], &ask);
	/* Without its link, the answer isn't sent. */
	world.disconnect("vm-2");
	answer_local(true);
	submit(600 * kMs);
	EXPECT_EQ(made.local.size(), 1u);
}

/* What arrived meanwhile is read between ticks. */
TEST_F(Advice, AnswersThatArrivedWhileThisDaemonWasPausedAreAwaited)
{
	submit(20 * kMs);
	submit(600 * kMs);
	submit(600 * kMs);
	ASSERT_EQ(receivers(), Names({"vm-0", "vm-2"}));
	world.now += 5 * kS;
	tick(0);
	tick(25 * kMs);
	for (size_t i = 0; i < 2; i++)
		answer(made.sent[i], true);
	EXPECT_EQ(answered, 2);
	EXPECT_EQ(failed, 0);
	EXPECT_TRUE(world.closed.empty());
}

TEST_F(Advice, LinksThatAreSilentAfterAPauseAreReset)
{
	submit(20 * kMs);
	world.now += 5 * kS;
	tick(200 * kMs);
	EXPECT_EQ(failed, 1);
	EXPECT_EQ(world.closed.size(), 1u);
}

/* Otherwise what one link fails is sent over the next that is silent. */
TEST_F(Advice, AllSilentLinksThatAreOverdueAreResetAtOnce)
{
	for (int i = 0; i < 6; i++)
		submit(20 * kMs);
	ASSERT_EQ(std::set<std::string>({"vm-0", "vm-3", "vm-6"}),
	    std::set<std::string>(
		{made.sent[0].vm, made.sent[1].vm, made.sent[2].vm}));
	tick(1500 * kMs);
	EXPECT_EQ(failed, 0);
	world.now += 100 * kMs;
	tick(0);
	EXPECT_EQ(failed, 6);
	EXPECT_EQ(world.closed.size(), 3u);
}

} // namespace
