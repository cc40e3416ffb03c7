#ifndef TESTS_SOAK_LOAD_H
#define TESTS_SOAK_LOAD_H

/*
 * Callers on connections of their own, which record for each request when it
 * was sent, when its answer began and when it or its connection ended.
 */

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <vector>

/* An address that callers use, and when its daemon got SIGTERM (or 0). */
struct LoadTarget {
	std::string address;
	std::atomic<int64_t> stopped_us{0};
};

struct Exchange {
	size_t target = 0;
	bool is_post = false;
	bool is_first = false; /* on its connection */
	bool answered = false; /* completely */
	bool given_up = false; /* by the caller, on an open connection */
	int status = 0;
	int64_t sent_us = 0;	    /* its last byte */
	int64_t first_us = 0;	    /* first byte of the answer, or 0 */
	int64_t ended_us = 0;	    /* of the answer or of the connection */
	int64_t since_stop_us = -1; /* sent so long after SIGTERM, or -1 */

	bool
	is_unanswered() const
	{
		return !answered && !given_up;
	}
	int64_t
	waited_us() const
	{
		return ended_us - sent_us;
	}
};

int64_t load_now_us();

/* One caller with one connection. */
class LoadCaller
{
      public:
	LoadCaller(std::deque<LoadTarget> &targets, unsigned number,
	    unsigned seed, bool is_loyal);
	~LoadCaller();
	LoadCaller(const LoadCaller &) = delete;
	LoadCaller &operator=(const LoadCaller &) = delete;

	/* Sends one request after the other. */
	void play(const std::atomic<bool> &over);

	/* Requests that were sent whole. */
	std::vector<Exchange> exchanges;
	/* Of those that it submitted: accepted, and not yet asked for. */
	std::vector<std::string> accepted;

      private:
	std::string next_request();
	bool connect_to_target();
	void disconnect();
	void choose_target(bool was_refused);
	bool send_whole(const std::string &text) const;
	/* Reads until the answer is complete; true if the connection stays. */
	bool read_answer(Exchange &e) const;
	void exchange_one();

	std::deque<LoadTarget> &targets;
	unsigned number;
	unsigned seed;
	bool is_loyal; /* stays with a daemon until connecting is refused */
	size_t at;
	int fd = -1;
	bool is_fresh = false;
	bool is_post = false;
	uint32_t submitted = 0;
	int64_t next_job_us = 0;
	std::string job;
};

/* What the callers have seen, as figures. */
struct LoadSummary {
	size_t sent = 0;
	size_t answered = 0;
	size_t given_up = 0;
	size_t within_slack = 0;
	size_t lost = 0;	/* unanswered, and ended after the slack */
	int64_t longest_us = 0; /* until an answer was complete */
	std::string lines;	/* one for each unanswered request */
};

/* Callers in threads of their own; a quarter of them are loyal. */
class Load
{
      public:
	Load(std::deque<LoadTarget> &targets, unsigned callers, unsigned seed);
	~Load();
	void stop();
	LoadSummary summarize(int64_t slack_us) const;
	std::vector<std::string> accepted() const;
	/* All exchanges, one a line. */
	void write(const std::string &path) const;

      private:
	std::atomic<bool> over{false};
	std::deque<LoadCaller> callers;
	std::vector<std::thread> threads;
};

#endif
