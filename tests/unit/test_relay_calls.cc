#include <gtest/gtest.h>

#include <algorithm>

#include "owner_net.h"

extern "C" {
#include "curranttackd/cell_relay.h"
}

/*
 * Which relays an owner's calls go over while links to daemons are silent. The
 * dispatcher is the real one.
 */
namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;

/* Of each order: the relay, or "" if the worker was called directly. */
std::vector<std::string> *orders;

void
order_directly(void *handle, const struct wp_order *o, uint64_t fence,
    fl_order_fn done, void *arg)
{
	(void)handle;
	(void)o;
	(void)fence;
	orders->emplace_back("");
	done(WP_ACCEPTED, 0, arg);
}

const struct fl_worker_ops worker_ops = {order_directly, nullptr};

} // namespace

extern "C" bool
rp_owns_any(const struct replica *r, const char *vm)
{
	(void)r;
	(void)vm;
	return false;
}

extern "C" bool
peer_send(struct peer_link *link, const Currant__Frame *frame)
{
	for (size_t i = 0; i < frame->n_relayed_orders; i++)
		orders->push_back(link->vm);
	return true;
}

namespace
{

using Names = std::vector<std::string>;

/* The owner, and three daemons in domains of their own. */
class RelayCalls : public testing::Test
{
      protected:
	RelayCalls()
	{
		orders = &sent;
		world.fleet.workers = &worker_ops;
		c->relay = rl_create(c);
		for (const char *domain : {"a", "b", "c"})
			world.add_daemon("vm-" + std::string(domain), domain);
		rl_tick(c->relay, world.now);
	}

	~RelayCalls()
	{
		orders = nullptr;
	}

	void
	order(const std::string &domain)
	{
		struct wp_worker w = {};
		struct wp_order o = {};

		w.id = "worker";
		w.domain = domain.c_str();
		rl_order(c->relay, &w, &o, 1, true, on_order, this);
		rl_flush(c->relay);
	}

	static void
	on_order(enum wp_order_result result, int64_t clock_ms, void *arg)
	{
		auto *t = static_cast<RelayCalls *>(arg);

		(void)clock_ms;
		t->unanswered += result == WP_NO_ANSWER;
	}

	void
	tick(int64_t us)
	{
		int64_t end = world.now + us;

		while (world.now < end) {
			world.now = std::min(world.now + 25 * kMs, end);
			rl_tick(c->relay, world.now);
		}
	}

	OwnerNet world{"owner"};
	struct cell *c = world.cell;
	std::vector<std::string> sent;
	int unanswered = 0;
};

/* Orders went over the next silent relay until its turn came, one a tick. */
TEST_F(RelayCalls, AllRelaysThatAreOverdueAreAvoidedAtOnce)
{
	for (const char *domain : {"a", "b", "c"})
		order(domain);
	ASSERT_EQ(sent, Names({"vm-a", "vm-b", "vm-c"}));
	tick(425 * kMs);
	EXPECT_EQ(unanswered, 0);
	tick(25 * kMs);
	EXPECT_EQ(unanswered, 3);
	for (const char *domain : {"a", "b", "c"})
		order(domain);
	EXPECT_EQ(sent, Names({"vm-a", "vm-b", "vm-c", "", "", ""}));
}

TEST_F(RelayCalls, RelayThatFailedIsUsedAgainByItself)
{
	order("a");
	tick(500 * kMs);
	order("a");
	tick(1 * kS);
	order("a");
	EXPECT_EQ(sent, Names({"vm-a", "", "vm-a"}));
}

} // namespace
