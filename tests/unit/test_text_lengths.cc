#include <set>

#include "pool_fixture.h"

extern "C" {
#include "protocol/job_codec.h"
}

/*
 * Text of others, which no page limits, is carried as it is, however long. Each
 * test is played with lengths on both sides of every limit that a buffer has had.
 */

namespace
{

class TextLengths : public Pool, public testing::WithParamInterface<size_t>
{
      protected:
	/* Of that length, and different from others in its last character. */
	static std::string
	text(char last = 'a')
	{
		return std::string(GetParam() - 1, 'x') + last;
	}

	/* As add_worker(), with labels and a VM. */
	void
	add_named_worker(const std::string &id, const std::string &kind,
	    const std::string &rack, const std::string &vm = "")
	{
		struct wp_worker_info info = {id.c_str(), "127.0.0.1:1", "a",
		    kind.c_str(), rack.c_str(), {4000, 1000, 0}, false, 0,
		    vm.c_str()};

		wp_set_worker(p, &info, now);
		renew_lease(id);
		commit();
	}
};

INSTANTIATE_TEST_SUITE_P(Bytes, TextLengths,
    testing::Values(1, 63, 64, 127, 128, 160, 200, 4000, 70000));

/*
 * A ticket that was cut to 127 characters was rejected by its worker, and the
 * owner asked for advice and ordered the start again without end.
 */
TEST_P(TextLengths, StartCarriesTheWholeTicket)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}}, nullptr, true, 2000);
	struct wp_advice_request request;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	const std::string ticket = text();
	struct wp_approval approval = {"w", ticket.c_str()};
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->ticket, ticket);
}

/* A start without an answer is sent again, with the newest ticket. */
TEST_P(TextLengths, RepeatedStartCarriesTheWholeTicketOfTheNewestAnswer)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}}, nullptr, true, 60000);
	struct wp_advice_request request;
	tick();
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	std::string ticket = text('a');
	struct wp_approval approval = {"w", ticket.c_str()};
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	ticket = text('b');
	approval.ticket = ticket.c_str();
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	answer(orders[0], WP_NO_ANSWER);
	orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_EQ(orders[0]->kind, WP_ORDER_START);
	EXPECT_EQ(orders[0]->ticket, ticket);
}

/*
 * Names were kept in arrays of 64 bytes. Where entries with longer ones were left
 * out, their workers received no tasks; a name that is cut is another one.
 */
TEST_P(TextLengths, WorkersThatDifferInTheirLastCharacterAreDistinct)
{
	create_pool();
	add_worker(text('a'));
	add_worker(text('b'));
	add(kJob, {{2, 4000}});
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_EQ(std::set<std::string>({orders[0]->worker, orders[1]->worker}),
	    std::set<std::string>({text('a'), text('b')}));
	for (uint32_t i = 0; i < 2; i++)
		EXPECT_EQ(task(kJob, 0, i)->state, WP_TASK_RUNNING);
}

TEST_P(TextLengths, TaskRunsOnTheRackOfItsData)
{
	create_pool();
	for (char last : {'a', 'b', 'c'}) {
		add_named_worker({last}, "kind", text(last));
	}
	struct jb_spec *s = spec(kJob, {{1}});
	s->step[0].rack = talloc_strdup(s, text('b').c_str());
	wp_add_job(p, s, nullptr, true, 0, now);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "b");
}

TEST_P(TextLengths, TaskRunsOnAWorkerWithItsLabel)
{
	create_pool();
	for (char last : {'a', 'b', 'c'}) {
		add_named_worker({last}, text(last), "rack");
	}
	struct jb_spec *s = spec(kJob, {{1}});
	s->step[0].label = talloc_strdup(s, text('b').c_str());
	wp_add_job(p, s, nullptr, true, 0, now);
	auto orders = run_all();
	ASSERT_EQ(orders.size(), 1U);
	EXPECT_STREQ(orders[0]->worker, "b");
}

TEST_P(TextLengths, WorkerIsFoundByItsVm)
{
	create_pool();
	for (char last : {'a', 'b'}) {
		add_named_worker({last}, "kind", "rack", text(last));
	}
	for (char last : {'a', 'b'}) {
		const std::string id = {last};
		struct wp_worker *w =
		    wp_find_worker_on_vm(p, text(last).c_str());

		ASSERT_NE(w, nullptr);
		EXPECT_EQ(w->id, id);
		EXPECT_EQ(w->vm, text(last));
	}
}

/* An entry may change while the earlier texts are in use by orders. */
TEST_P(TextLengths, OrderKeepsTheAddressThatItWasMadeFor)
{
	create_pool();
	add_worker("w");
	add(kJob, {{1}});
	auto orders = tick();
	ASSERT_EQ(orders.size(), 1U);
	const std::string rack = text();
	struct wp_worker_info info = {"w", "127.0.0.1:2", "b", "kind",
	    rack.c_str(), {4000, 1000, 0}, false, 0};
	wp_set_worker(p, &info, now);
	EXPECT_STREQ(orders[0]->address, "127.0.0.1:1");
	const struct wp_worker *w = wp_find_worker(p, "w");
	EXPECT_STREQ(w->address, "127.0.0.1:2");
	EXPECT_STREQ(w->domain, "b");
	EXPECT_EQ(w->rack, rack);
	EXPECT_STREQ(w->vm, "");
}

/* The next owner reads from the stored progress which worker has crashed. */
TEST_P(TextLengths, StoredCrashNamesItsWorkerWhole)
{
	const std::string id = text();
	struct jb_crash crash = {1, id.c_str(), 7, true, 4, 0};
	struct jb_task_progress row = {};
	struct jb_progress progress = {JB_RUNNING, true, &row, 1};
	size_t bytes;

	row.run = 1;
	row.crash = &crash;
	row.crash_count = 1;
	uint8_t *value = jc_pack_progress(nullptr, &progress, &bytes);
	struct jb_progress *got = jc_unpack_progress(nullptr, value, bytes);
	ASSERT_NE(got, nullptr);
	ASSERT_EQ(got->task[0].crash_count, 1U);
	EXPECT_EQ(got->task[0].crash[0].worker, id);

	create_pool();
	struct wp_job *job = add(kJob, {{1}}, got, false);
	talloc_free(got);
	talloc_free(value);
	ASSERT_NE(job, nullptr);
	ASSERT_EQ(task(kJob, 0, 0)->crash_count, 1U);
	EXPECT_EQ(task(kJob, 0, 0)->crash[0].worker, id);
}

/*
 * The store refused a job's progress with checkpoints of over a megabyte together,
 * with it all commits of the pool, and without end.
 */
TEST_P(TextLengths, ProgressFitsIntoAValueOfTheStore)
{
	constexpr size_t kValueBytes = 1 << 20;
	constexpr uint32_t kTasks = 4096;
	const std::string checkpoint = text();
	const std::string worker = text('w');
	const uint32_t failed[WP_MAX_FAILED_RUNS] = {};
	struct jb_crash crash = {1, worker.c_str(), INT64_MAX, true, 4, 0};
	std::vector<struct jb_task_progress> rows(kTasks);
	struct jb_progress progress = {JB_RUNNING, true, rows.data(), kTasks};
	uint32_t left_out;
	uint32_t kept_listed = 0;
	uint32_t kept_others = 0;
	size_t bytes;

	for (uint32_t i = 0; i < kTasks; i++) {
		rows[i].occurrence = rows[i].step = rows[i].index = UINT32_MAX;
		rows[i].run = UINT32_MAX;
		rows[i].failed_run = failed;
		rows[i].failed = WP_MAX_FAILED_RUNS;
		rows[i].failed_earlier = UINT32_MAX;
		rows[i].checkpoint = checkpoint.c_str();
		rows[i].listed = i % 4 != 0;
	}
	rows[0].crash = &crash;
	rows[0].crash_count = 1;
	left_out = jb_fit_checkpoints(&progress, kValueBytes);
	for (const struct jb_task_progress &t : rows) {
		kept_listed += t.checkpoint != nullptr && t.listed;
		kept_others += t.checkpoint != nullptr && !t.listed;
	}
	EXPECT_EQ(left_out, kTasks - kept_listed - kept_others);
	EXPECT_EQ(left_out == 0, GetParam() <= 64) << left_out;
	/* Those that nobody else knows go first. */
	EXPECT_TRUE(kept_listed == 0 || kept_others == kTasks / 4);
	if (GetParam() <= 200) {
		EXPECT_GT(kept_listed, 0U);
	}
	if (GetParam() < kValueBytes / 4) {
		EXPECT_GT(kept_others, 0U);
	}
	uint8_t *value = jc_pack_progress(nullptr, &progress, &bytes);
	EXPECT_LE(bytes, kValueBytes);
	talloc_free(value);
}

TEST_F(Pool, ProgressOfATaskThatIsDoneHasNoCheckpoint)
{
	struct jb_progress progress;

	create_pool();
	add_worker("w");
	add(kJob, {{2, 1000, JB_CHECKPOINTS}});
	run_all();
	for (uint32_t i = 0; i < 2; i++)
		wp_task_set_checkpoint(task(kJob, 0, i), "saved");
	renew_lease("w", {{kJob, 0, 1, 1}}, {{1, kJob, 0, 0, 1, WP_END_DONE}});
	now += kS;
	ASSERT_NE(wp_next_dirty(p, p, now, &progress), nullptr);
	ASSERT_EQ(progress.task_count, 2U);
	EXPECT_TRUE(progress.task[0].done);
	EXPECT_EQ(progress.task[0].checkpoint, nullptr);
	EXPECT_STREQ(progress.task[1].checkpoint, "saved");
	EXPECT_TRUE(progress.task[1].listed);
}

} // namespace
