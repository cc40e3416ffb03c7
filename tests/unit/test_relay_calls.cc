#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_relay.h"
}

/*
 * Which relays an owner's calls go over while links to daemons are silent. The
 * dispatcher is the real one; links, the clock and workers are simulated here.
 */

struct peer_link {
	std::string vm;
	uint64_t serial;
};

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;

struct Net {
	int64_t now = 1000 * kS;
	std::map<std::string, struct peer_link> links;
	/* Of each order: the relay, or "" if the worker was called directly. */
	std::vector<std::string> orders;
};

Net *net;

void
order_directly(void *handle, const struct wp_order *o, uint64_t fence,
    fl_order_fn done, void *arg)
{
	(void)handle;
	(void)o;
	(void)fence;
	net->orders.emplace_back("");
	done(WP_ACCEPTED, 0, arg);
}

const struct fl_worker_ops worker_ops = {order_directly, nullptr};

} // namespace

extern "C" {

int64_t
clk_now_us(void)
{
	return net->now;
}

int64_t
clk_wall_us(void)
{
	return net->now;
}

bool
rp_owns_any(const struct replica *r, const char *vm)
{
	(void)r;
	(void)vm;
	return false;
}

struct peer_link *
pn_link(struct pn_links *n, const char *vm)
{
	auto it = net->links.find(vm);

	(void)n;
	return it != net->links.end() ? &it->second : nullptr;
}

bool
peer_send(struct peer_link *link, const Currant__Frame *frame)
{
	for (size_t i = 0; i < frame->n_relayed_orders; i++)
		net->orders.push_back(link->vm);
	return true;
}

uint64_t
peer_serial(const struct peer_link *link)
{
	return link->serial;
}
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
		net = &world;
		c = talloc_zero(nullptr, struct cell);
		c->settings = talloc_zero(c, struct cell_settings);
		c->settings->vm = talloc_strdup(c, "owner");
		c->replica = talloc_zero(c, struct replica);
		fleet.workers = &worker_ops;
		c->fleet = &fleet;
		c->relay = rl_create(c);
		for (const char *name : {"a", "b", "c"})
			add_daemon(name);
		rl_tick(c->relay, world.now);
	}

	~RelayCalls()
	{
		HASH_CLEAR(hh, c->replica->members);
		talloc_free(c);
		net = nullptr;
	}

	void
	add_daemon(const std::string &domain)
	{
		struct rp_member *m = talloc_zero(c->replica, struct rp_member);

		snprintf(m->vm, sizeof(m->vm), "vm-%s", domain.c_str());
		snprintf(m->domain, sizeof(m->domain), "%s", domain.c_str());
		m->present = true;
		HASH_ADD_STR(c->replica->members, vm, m);
		world.links[m->vm] = {m->vm, world.links.size() + 1};
	}

	void
	order(const std::string &domain)
	{
		struct wp_worker w = {};
		struct wp_order o = {};

		snprintf(w.id, sizeof(w.id), "worker");
		snprintf(w.domain, sizeof(w.domain), "%s", domain.c_str());
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

	Net world;
	struct fl_fleet fleet = {};
	struct cell *c = nullptr;
	int unanswered = 0;
};

/* Orders went over the next silent relay until its turn came, one a tick. */
TEST_F(RelayCalls, AllRelaysThatAreOverdueAreAvoidedAtOnce)
{
	for (const char *domain : {"a", "b", "c"})
		order(domain);
	ASSERT_EQ(world.orders, Names({"vm-a", "vm-b", "vm-c"}));
	tick(425 * kMs);
	EXPECT_EQ(unanswered, 0);
	tick(25 * kMs);
	EXPECT_EQ(unanswered, 3);
	for (const char *domain : {"a", "b", "c"})
		order(domain);
	EXPECT_EQ(world.orders, Names({"vm-a", "vm-b", "vm-c", "", "", ""}));
}

TEST_F(RelayCalls, RelayThatFailedIsUsedAgainByItself)
{
	order("a");
	tick(500 * kMs);
	order("a");
	tick(1 * kS);
	order("a");
	EXPECT_EQ(world.orders, Names({"vm-a", "", "vm-a"}));
}

} // namespace
