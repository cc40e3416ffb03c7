#ifndef TESTS_SHARD_MODEL_H
#define TESTS_SHARD_MODEL_H

/* Simulated workers for tests of shards, with a record of what they ran. */

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "common/rng.h"
#include "state/shard.h"
}

struct TaskId {
	std::string job;
	uint32_t index;
	bool
	operator<(const TaskId &o) const
	{
		return job != o.job ? job < o.job : index < o.index;
	}
};

struct ModelTask {
	TaskId id;
	uint64_t attempt;
	struct st_res need;
	int64_t ends_us;
	bool idempotent;
	enum st_result result;
};

/* Counts runs over all workers, independent of who owns the shard. */
struct Observer {
	std::map<TaskId, int> live;
	std::map<TaskId, int> starts;
	std::map<TaskId, int> completions;
	std::vector<std::string> violations;
};

struct ModelSync {
	uint32_t worker;
	struct sh_sync sync;
	std::vector<std::string> names;
	int owner;
	uint64_t generation;
};

struct ModelReply {
	uint64_t fenced_by = 0;
	int64_t clock_us = 0;
	uint64_t lease_generation = 0;
	bool has_inventory = false;
	std::vector<ModelTask> running, started, refused, ended;
};

/* A worker that behaves as the platform's contract says. */
class ModelWorker
{
      public:
	struct st_res capacity;
	struct st_res used = {};
	std::vector<ModelTask> running, ended;
	uint64_t epoch = 0, seq = 0, generation = 1;
	int64_t lease_until_us = 0;
	int64_t offset_us = 0;
	bool disconnected = false;
	bool fail_all = false;
	Observer *observer;

	ModelReply sync(const struct sh_sync &s, int64_t now_us);
	void tick(int64_t now_us);
	void lose_all();
	void restart();

      private:
	void start(const struct sh_start &s, int64_t now_us, ModelReply &r);
	void stop(const struct sh_stop &s);
	void end(size_t i, enum st_result result, bool keep);
};

#endif
