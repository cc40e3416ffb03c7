/*
 * Two or three daemons compete for a shard. They run against a model of the
 * platform's store that loses responses, applies writes late and becomes
 * unavailable.
 */
#include <gtest/gtest.h>

#include <algorithm>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "common/rng.h"
#include "coordination/ownership.h"
}

namespace
{

struct Value {
	uint64_t revision = 0;
	struct ow_head head = {};
	uint64_t writer = 0;
	uint64_t nonce = 0;
	bool seal = false;
	std::vector<int> payload;
};

/* Linearizable store; Race decides which responses are lost or late. */
class Store
{
      public:
	std::map<std::string, Value> values;
	uint64_t revision = 0;

	static std::string
	key(const struct ow_op &op)
	{
		switch (op.key) {
		case OW_KEY_LEASE:
			return "lease";
		case OW_KEY_HEAD:
			return "head";
		case OW_KEY_LOG:
			return "log/" + std::to_string(op.seq);
		default:
			return "snap/" + std::to_string(op.seq) + "-" +
			    std::to_string(op.epoch) + "/" +
			    std::to_string(op.part);
		}
	}

	struct ow_response
	apply(const struct ow_op &op, const Value &value)
	{
		struct ow_response a = {};
		std::string k = key(op);
		auto it = values.find(k);
		bool exists = it != values.end();

		a.result = OW_OK;
		if (op.kind == OW_GET) {
			if (!exists) {
				a.result = OW_ABSENT;
				return a;
			}
			a.revision = it->second.revision;
			a.head = it->second.head;
			a.writer = it->second.writer;
			a.nonce = it->second.nonce;
			return a;
		}
		if (op.kind == OW_DELETE) {
			if (!exists)
				a.result = OW_ABSENT;
			else if (op.if_revision != 0 &&
			    op.if_revision != it->second.revision)
				a.result = OW_CONFLICT;
			else
				values.erase(it);
			return a;
		}
		if (op.kind == OW_CREATE
			? exists
			: !exists || it->second.revision != op.if_revision) {
			a.result = OW_CONFLICT;
			a.revision = exists ? it->second.revision : 0;
			return a;
		}
		values[k] = value;
		values[k].revision = ++revision;
		a.revision = revision;
		return a;
	}
};

struct Node {
	struct ow_fsm m;
	std::string name;
	std::vector<int> state;
	std::vector<int> batch;
	std::vector<int> snapshot;
	std::vector<int> committed;
	struct ow_op op = {};
	bool in_flight = false;
	bool owned_lease = false;
	int64_t answer_at_us = 0;
	struct ow_response answer = {};
	std::vector<int> read;
	int64_t paused_until_us = 0;
};

struct DelayedWrite {
	int64_t at_us;
	struct ow_op op;
	Value value;
};

class Race
{
      public:
	Race(uint64_t seed, int nodes) : rng{seed}
	{
		for (int i = 0; i < nodes; i++) {
			auto n = std::make_unique<Node>();

			n->name = "vm" + std::to_string(i);
			ow_init(&n->m, n->name.c_str(), (uint64_t)i + 100);
			this->nodes.push_back(std::move(n));
		}
	}

	void step(bool faults);
	std::vector<int> replay();
	bool
	has_owner() const
	{
		for (const auto &n : nodes) {
			if (ow_is_active(&n->m))
				return true;
		}
		return false;
	}

	struct rng rng;
	Store store;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<DelayedWrite> delayed_writes;
	std::vector<int> acknowledged;
	int64_t now_us = CLK_US_PER_S;
	int next_item = 1;
	bool store_down = false;

	uint64_t
	random_below(uint64_t n)
	{
		return rng_below(&rng, n);
	}
	void deliver_response(Node &n);

      private:
	Value value_of(Node &n, const struct ow_op &op);
	void start_op(Node &n, bool faults);
};

Value
Race::value_of(Node &n, const struct ow_op &op)
{
	Value v;

	v.head = op.head;
	v.writer = n.m.writer;
	v.nonce = op.nonce;
	v.seal = op.seal;
	if (op.key == OW_KEY_LOG && !op.seal)
		v.payload = n.batch;
	if (op.key == OW_KEY_SNAPSHOT)
		v.payload = n.snapshot;
	return v;
}

void
Race::start_op(Node &n, bool faults)
{
	struct ow_op op;

	if (ow_is_active(&n.m) && n.m.state == OW_READY &&
	    random_below(4) == 0) {
		n.batch = {next_item++};
		if (ow_begin_append(&n.m, now_us) == 0)
			n.batch.clear();
	} else if (ow_is_active(&n.m) && n.m.state == OW_READY &&
	    random_below(20) == 0) {
		n.snapshot = n.state;
		ow_begin_snapshot(&n.m, 1);
	}
	if (!ow_next_op(&n.m, now_us, true, true, &op))
		return;
	n.op = op;
	n.in_flight = true;
	n.answer_at_us = now_us + 1000 * (int64_t)(1 + random_below(5));
	Value v = value_of(n, op);
	uint64_t fault = faults ? random_below(20) : 100;

	if (store_down || fault == 0) {
		n.answer = {};
		n.answer.result = OW_UNAVAILABLE;
	} else if (fault == 1) {
		store.apply(op, v);
		n.answer = {};
		n.answer.result = OW_UNAVAILABLE;
	} else if (fault == 2 && op.kind != OW_GET) {
		/* No response, and the write is applied up to 19 s later. */
		delayed_writes.push_back(DelayedWrite{
		    now_us + (int64_t)random_below(20) * CLK_US_PER_S, op, v});
		n.answer = {};
		n.answer.result = OW_UNAVAILABLE;
	} else {
		auto it = store.values.find(Store::key(op));

		n.read.clear();
		if (it != store.values.end())
			n.read = it->second.payload;
		n.answer = store.apply(op, v);
	}
}

void
Race::deliver_response(Node &n)
{
	enum ow_event event;

	n.in_flight = false;
	event = ow_on_response(&n.m, &n.answer, now_us);
	switch (event) {
	case OW_EV_RESET:
	case OW_EV_FENCED:
	case OW_EV_RELEASED:
		n.state.clear();
		break;
	case OW_EV_REPLAY:
		n.state.insert(n.state.end(), n.read.begin(), n.read.end());
		break;
	case OW_EV_COMMITTED:
		n.state.insert(n.state.end(), n.batch.begin(), n.batch.end());
		acknowledged.insert(
		    acknowledged.end(), n.batch.begin(), n.batch.end());
		n.batch.clear();
		break;
	default:
		break;
	}
}

void
Race::step(bool faults)
{
	now_us += faults ? 5000 * (int64_t)(1 + random_below(20)) : 5000;
	for (size_t i = 0; i < delayed_writes.size();) {
		if (now_us < delayed_writes[i].at_us) {
			i++;
			continue;
		}
		store.apply(delayed_writes[i].op, delayed_writes[i].value);
		delayed_writes.erase(delayed_writes.begin() + (long)i);
	}
	if (faults && random_below(200) == 0)
		store_down = !store_down;
	/* The holder of the lease is paused and its store lease expires. */
	if (faults && random_below(60) == 0) {
		auto it = store.values.find("lease");

		if (it != store.values.end()) {
			for (auto &n : nodes) {
				if (n->m.writer == it->second.writer) {
					ow_on_lease_lost(&n->m);
					n->paused_until_us = now_us +
					    (int64_t)random_below(40) *
						CLK_US_PER_S / 4;
				}
			}
			store.values.erase(it);
		}
	}
	for (auto &n : nodes) {
		if (now_us < n->paused_until_us)
			continue;
		if (n->in_flight && now_us >= n->answer_at_us)
			deliver_response(*n);
		if (!n->in_flight)
			start_op(*n, faults);
	}
}

/* State that a new owner would replay from the store now. */
std::vector<int>
Race::replay()
{
	std::vector<int> all;
	struct ow_head head = store.values["head"].head;
	uint64_t seq = head.snapshot_seq;

	if (head.snapshot_parts > 0) {
		std::string k = "snap/" + std::to_string(seq) + "-" +
		    std::to_string(head.snapshot_epoch) + "/0";

		EXPECT_TRUE(store.values.count(k)) << "snapshot is missing";
		all = store.values[k].payload;
	}
	while (store.values.count("log/" + std::to_string(++seq))) {
		const Value &v = store.values["log/" + std::to_string(seq)];

		all.insert(all.end(), v.payload.begin(), v.payload.end());
	}
	return all;
}

class OwnershipRace : public testing::TestWithParam<uint64_t>
{
};

TEST_P(OwnershipRace, AcknowledgedItemsAreKept)
{
	Race race(GetParam(), 2 + (int)(GetParam() % 2));

	for (int i = 0; i < 8000; i++)
		race.step(true);
	race.store_down = false;
	for (auto &n : race.nodes)
		n->paused_until_us = 0;
	for (int i = 0; i < 4000; i++)
		race.step(false);
	std::vector<int> kept = race.replay();

	EXPECT_TRUE(race.has_owner());
	EXPECT_GT(race.acknowledged.size(), 20U);
	for (int item : race.acknowledged) {
		EXPECT_EQ(std::count(kept.begin(), kept.end(), item), 1)
		    << "item " << item << " seed " << GetParam();
	}
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, OwnershipRace, testing::Range<uint64_t>(1, 301));

/*
 * One operation of a takeover, append, snapshot or deletion gets no response,
 * whether it was applied or not.
 */
struct FaultCase {
	enum ow_op_kind kind;
	enum ow_key key;
	bool applied;
	const char *name;
};

class OwnershipFault : public testing::TestWithParam<FaultCase>
{
};

TEST_P(OwnershipFault, OneLostResponseLosesNoItems)
{
	const FaultCase &c = GetParam();
	Race race(7, 1);
	Node &n = *race.nodes[0];
	bool injected = false;

	for (int i = 0; i < 4000; i++) {
		race.step(false);
		/* Past the retention of the seal, so the log is trimmed. */
		if (i == 2000)
			race.now_us += 200 * CLK_US_PER_S;
		if (n.in_flight && !injected && n.op.kind == c.kind &&
		    n.op.key == c.key) {
			/* Undo the write if the case says it was not applied. */
			if (!c.applied && c.kind != OW_GET &&
			    n.answer.result == OW_OK && c.kind == OW_CREATE)
				race.store.values.erase(Store::key(n.op));
			else if (!c.applied && c.kind == OW_CAS)
				continue;
			n.answer = {};
			n.answer.result = OW_UNAVAILABLE;
			injected = true;
		}
	}
	EXPECT_TRUE(injected);
	EXPECT_TRUE(ow_is_active(&n.m));
	std::vector<int> kept = race.replay();

	for (int item : race.acknowledged)
		EXPECT_EQ(std::count(kept.begin(), kept.end(), item), 1);
	EXPECT_GT(race.acknowledged.size(), 10U);
}

INSTANTIATE_TEST_SUITE_P(Table, OwnershipFault,
    testing::Values(FaultCase{OW_GET, OW_KEY_LEASE, false, "ReadLease"},
	FaultCase{OW_GET, OW_KEY_HEAD, false, "ReadHead"},
	FaultCase{OW_CREATE, OW_KEY_LEASE, true, "TakeLeaseApplied"},
	FaultCase{OW_CREATE, OW_KEY_LEASE, false, "TakeLeaseLost"},
	FaultCase{OW_CREATE, OW_KEY_HEAD, true, "TakeHeadApplied"},
	FaultCase{OW_CREATE, OW_KEY_HEAD, false, "TakeHeadLost"},
	FaultCase{OW_CREATE, OW_KEY_LOG, true, "SealOrAppendApplied"},
	FaultCase{OW_CREATE, OW_KEY_LOG, false, "SealOrAppendLost"},
	FaultCase{OW_CREATE, OW_KEY_SNAPSHOT, true, "SnapshotApplied"},
	FaultCase{OW_CREATE, OW_KEY_SNAPSHOT, false, "SnapshotLost"},
	FaultCase{OW_CAS, OW_KEY_HEAD, true, "SnapshotHeadApplied"},
	FaultCase{OW_DELETE, OW_KEY_LOG, true, "TrimApplied"}),
    [](const testing::TestParamInfo<FaultCase> &i) { return i.param.name; });

TEST(Ownership, ReleaseLetsAnotherDaemonTakeOver)
{
	Race race(3, 2);
	Node *owner = nullptr;

	for (int i = 0; i < 500; i++)
		race.step(false);
	for (auto &n : race.nodes) {
		if (ow_is_active(&n->m))
			owner = n.get();
	}
	ASSERT_NE(owner, nullptr);
	uint64_t epoch = owner->m.epoch;

	ow_request_release(&owner->m);
	for (int i = 0; i < 1000; i++)
		race.step(false);
	EXPECT_FALSE(ow_is_active(&owner->m));
	for (auto &n : race.nodes) {
		if (n.get() != owner) {
			EXPECT_TRUE(ow_is_active(&n->m));
			EXPECT_EQ(n->m.epoch, epoch + 1);
		}
	}
}

TEST(Ownership, SealIsKeptWhileEarlierOwnersMayAppend)
{
	Race race(5, 1);
	Node &n = *race.nodes[0];

	for (int i = 0; i < 200; i++)
		race.step(false);
	ASSERT_TRUE(ow_is_active(&n.m));
	std::string seal = "log/" + std::to_string(n.m.seal_seq);

	for (int i = 0; i < 2000; i++)
		race.step(false);
	EXPECT_GT(n.m.head.snapshot_seq, n.m.seal_seq);
	EXPECT_TRUE(race.store.values.count(seal));
	race.now_us += 200 * CLK_US_PER_S;
	for (int i = 0; i < 2000; i++)
		race.step(false);
	EXPECT_FALSE(race.store.values.count(seal));
}

} // namespace
