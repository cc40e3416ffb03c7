#ifndef TESTS_SOAK_PROCESSOR_WATCH_H
#define TESTS_SOAK_PROCESSOR_WATCH_H

#include <atomic>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <unistd.h>

#include "load.h"

/*
 * For how long processes were ready to run and got no processor, so that a late
 * answer can be told from one that the program withheld.
 */
class ProcessorWatch
{
      public:
	/* Lines go to the log for each time above this. */
	static constexpr int64_t kNotedUs = 100000;
	static constexpr useconds_t kSampleUs = 10000;

	ProcessorWatch(size_t count, std::function<pid_t(size_t)> pid_of,
	    const std::string &path)
	    : log(path), thread([this, count, pid_of] {
		      while (!over) {
			      for (size_t i = 0; i < count; i++)
				      sample(i, pid_of(i));
			      usleep(kSampleUs);
		      }
	      })
	{
	}

	~ProcessorWatch()
	{
		over = true;
		thread.join();
	}

	std::atomic<int64_t> longest_us{0};

      private:
	struct State {
		int64_t worked_ns = -1;
		int64_t since_us = 0; /* ready to run and not running */
	};

	static bool
	is_ready_to_run(pid_t pid)
	{
		std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
		std::string text;

		std::getline(file, text);
		size_t at = text.rfind(") ");

		return at != std::string::npos && text[at + 2] == 'R';
	}

	static int64_t
	worked_ns(pid_t pid)
	{
		std::ifstream file(
		    "/proc/" + std::to_string(pid) + "/schedstat");
		int64_t ns = -1;

		file >> ns;
		return ns;
	}

	void
	sample(size_t i, pid_t pid)
	{
		int64_t worked = pid > 0 ? worked_ns(pid) : -1;
		State &s = states[i];
		bool waits =
		    pid > 0 && worked == s.worked_ns && is_ready_to_run(pid);
		int64_t now_us = load_now_us();

		s.worked_ns = worked;
		if (waits && s.since_us == 0)
			s.since_us = now_us;
		if (waits || s.since_us == 0)
			return;
		if (now_us - s.since_us > longest_us)
			longest_us = now_us - s.since_us;
		if (now_us - s.since_us > kNotedUs)
			log << "target=" << i << " from_us=" << s.since_us
			    << " to_us=" << now_us << std::endl;
		s.since_us = 0;
	}

	std::ofstream log;
	std::map<size_t, State> states;
	std::atomic<bool> over{false};
	std::thread thread;
};

#endif
