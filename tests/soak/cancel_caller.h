#ifndef TESTS_SOAK_CANCEL_CALLER_H
#define TESTS_SOAK_CANCEL_CALLER_H

/* Callers that hand jobs in and cancel them, on kept connections. */

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../fault/cluster.h"

/* The daemons that callers use; replaced ones are taken out. */
class CallerTargets
{
      public:
	void
	add(const std::string &address)
	{
		std::lock_guard<std::mutex> guard(lock);

		addresses.push_back(address);
	}
	void remove(const std::string &address);
	std::string
	choose(unsigned random)
	{
		std::lock_guard<std::mutex> guard(lock);

		return addresses[random % addresses.size()];
	}

      private:
	std::mutex lock;
	std::vector<std::string> addresses;
};

struct CancelledJob {
	std::string id;
	std::string body;
	int64_t accepted_ms = 0;
	int64_t next_try_ms = 0; /* of handing it in, until it is accepted */
	int64_t cancel_at_ms = 0;
	int64_t cancel_twice_at_ms = 0;
	int64_t again_at_ms = 0; /* it is handed in once more */
	int64_t acked_ms = 0;	 /* its cancellation, first */
	std::string acked_by;
	int tries = 0;
	/* Methods, daemons and statuses, with times since the first send. */
	std::string calls;
	int64_t first_ms = 0;
};

class CancelCaller
{
      public:
	CancelCaller(CallerTargets &targets, int seed, int number, int pause_ms)
	    : targets(targets), seed(seed), number(number), pause_ms(pause_ms),
	      random((unsigned)(seed * 64 + number))
	{
	}

	/* Until it is over and all its cancellations are acknowledged. */
	void play(const std::atomic<bool> &over, int64_t give_up_ms);

	std::vector<CancelledJob> jobs;

      private:
	int
	below(int n)
	{
		return (int)(random() % (unsigned)n);
	}
	long call(CancelledJob &j, const std::string &method);
	void submit_new();
	void hand_in(CancelledJob &j);
	void cancel(CancelledJob &j);
	void cancel_all_at(int64_t at_ms);
	/* Sends what is due for a job; whether more will be. */
	bool serve(CancelledJob &j);

	CallerTargets &targets;
	int seed;
	int number;
	int pause_ms; /* between new jobs, on average */
	std::mt19937 random;
	std::map<std::string, std::unique_ptr<KeptClient>> clients;
};

class CancelCallers
{
      public:
	CancelCallers(
	    CallerTargets &targets, int seed, int callers, int pause_ms);
	~CancelCallers()
	{
		stop();
	}
	/* Waits until all cancellations are acknowledged. */
	void stop();
	std::vector<CancelledJob> jobs() const;

      private:
	std::atomic<bool> over{false};
	std::vector<std::unique_ptr<CancelCaller>> callers;
	std::vector<std::thread> threads;
};

#endif
