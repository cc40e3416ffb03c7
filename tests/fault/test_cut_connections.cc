#include "cell_fixture.h"

/*
 * Store and workers read a request whole, close or reset its connection without
 * a response, and reject what comes next. They may have executed it, or do so
 * later.
 */

namespace
{

class CutConnections : public RelayedCell
{
      protected:
	/* So that daemons keep connections to the store and to all workers. */
	void
	start_and_warm_up(int n)
	{
		start_daemons(n);
		EXPECT_EQ(submit(0, 0, 16, 300).status, 200);
		wait_completed(0, 0, 1);
	}

	void
	cut_write(int n, const std::string &kind)
	{
		std::string match = "{\"target\":\"store\",\"path\":\"kv-txn\","
				    "\"body\":\"" +
		    job_id(n) + "\",\"kind\":";

		inject_fault(
		    match + "\"" + kind + "\",\"count\":1,\"delay_ms\":700}");
		inject_fault(match + "\"refuse\",\"for_ms\":2000}");
	}

	/* Each worker cuts its first start of a job, and rejects what follows. */
	void
	cut_starts(int n, const std::string &kind, const std::string &rejection)
	{
		for (uint32_t w = 0; w < kWorkers; w++) {
			std::string match = "{\"target\":\"w-" +
			    std::to_string(w) +
			    "\",\"path\":\"run-start\",\"body\":\"" +
			    job_id(n) + "\",\"kind\":\"";

			inject_fault(
			    match + kind + "\",\"count\":1,\"delay_ms\":700}");
			inject_fault(match + rejection + "\",\"for_ms\":1500}");
		}
	}

	void
	expect_one_run_of_cut_starts(
	    const std::string &kind, const std::string &rejection)
	{
		for (int n = 1; n <= 4; n++) {
			cut_starts(n, kind, rejection);
			EXPECT_EQ(submit(0, n, 1, 1500).status, 200);
			wait_completed(0, n, n + 1);
		}
		expect_no_violations();
	}
};

/* Without relays. */
class CutConnectionsOfOwner : public CutConnections
{
      protected:
	CutConnectionsOfOwner()
	{
		settings = "";
	}
};

TEST_F(CutConnections, CallerIsNotRefusedAfterItsWriteWasExecuted)
{
	int n = 1;

	start_and_warm_up(2);
	for (const char *kind : {"close_after", "reset_after"}) {
		cut_write(n, kind);
		EXPECT_NE(submit(0, n).status, 503) << kind;
		n++;
	}
	wait_completed(1, 1, n);
	expect_no_violations();
}

TEST_F(CutConnections, CallerIsNotRefusedBeforeItsWriteIsExecutedLate)
{
	int n = 1;

	start_and_warm_up(2);
	for (const char *kind : {"late_close", "late_reset"}) {
		cut_write(n, kind);
		EXPECT_NE(submit(0, n).status, 503) << kind;
		n++;
	}
	wait_completed(1, 1, n);
	expect_no_violations();
}

TEST_F(CutConnectionsOfOwner, StartThatWasExecutedRunsOnce)
{
	start_and_warm_up(2);
	expect_one_run_of_cut_starts("close_after", "refuse");
}

TEST_F(CutConnectionsOfOwner, StartThatIsExecutedLateRunsOnce)
{
	start_and_warm_up(2);
	expect_one_run_of_cut_starts("late_reset", "refuse");
}

TEST_F(CutConnections, RelayedStartThatWasExecutedRunsOnce)
{
	start_and_warm_up(3);
	wait_for_relay();
	expect_one_run_of_cut_starts("reset_after", "throttle");
}

TEST_F(CutConnections, RelayedStartThatIsExecutedLateRunsOnce)
{
	start_and_warm_up(3);
	wait_for_relay();
	expect_one_run_of_cut_starts("late_close", "throttle");
}

TEST_F(CutConnectionsOfOwner, MaintenanceThatBeganKeepsToItsMaximum)
{
	start_daemons(2);
	http("POST", control + "/_wave",
	    "{\"wave\":1,\"machines\":[\"m-0\",\"m-1\",\"m-2\",\"m-3\"],"
	    "\"duration_s\":20,\"maximum\":1}");
	EXPECT_TRUE(
	    eventually([&] { return reported("maintained") == 1; }, 8000));
	inject_fault(
	    "{\"target\":\"duties\",\"kind\":\"close_after\",\"count\":1}");
	inject_fault(
	    "{\"target\":\"duties\",\"kind\":\"throttle\",\"count\":2}");
	EXPECT_TRUE(
	    eventually([&] { return reported("maintained") == 4; }, 20000));
	EXPECT_EQ(reported("most_down"), 1);
}

} // namespace
