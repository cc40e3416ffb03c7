#ifndef TESTS_UNIT_SIM_CANCELLED_H
#define TESTS_UNIT_SIM_CANCELLED_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

class SimWorld;
struct SimRun;
struct SimWorker;

/*
 * UNASKED: a run of a job goes on after the job's cancellation was acknowledged,
 * for longer than it takes to cancel and to stop while nothing is disrupted.
 */
class SimCancelled
{
      public:
	explicit SimCancelled(SimWorld *world) : w(world)
	{
	}

	/* A caller was told the answer to its cancellation. */
	void on_answer(const std::string &path, int status);
	/* Something is disrupted from now on, for that long. */
	void on_disruption(int64_t us);
	void check();

      private:
	void check_run(
	    const SimWorker &worker, const std::string &task, const SimRun &r);
	void note_settings();

	SimWorld *w;
	std::map<std::string, int64_t> acknowledged_us; /* by job */
	std::set<std::string> told;
	int64_t disrupted_until_us = 0;
	int64_t wall_step_us = 0;
};

#endif
