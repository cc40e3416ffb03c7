#ifndef TESTS_CELL_DAEMON_H
#define TESTS_CELL_DAEMON_H

/* A daemon of the cell as a real process. */

#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cluster.h"

/*
 * A free port below the range for outgoing connections, so no other process
 * takes it before the daemon does.
 */
inline int
free_port()
{
	constexpr int first = 10000;
	constexpr int per_process = 100;
	constexpr int processes = 200;
	static int next = 0;

	for (;;) {
		struct sockaddr_in sin = {};
		int port = first + getpid() % processes * per_process +
		    next++ % per_process;
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)port);
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		int rc = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		close(fd);
		if (rc == 0)
			return port;
	}
}

inline std::string
loopback(int port)
{
	return "127.0.0.1:" + std::to_string(port);
}

class CellDaemon
{
      public:
	CellDaemon(const std::string &dir, const std::string &vm,
	    const std::string &store, const std::string &advice,
	    const std::string &keep_ended = "120s",
	    const std::string &duties = "127.0.0.1:1",
	    const std::string &more = "")
	    : vm(vm), callers(loopback(free_port())),
	      ready(loopback(free_port())), metrics(loopback(free_port())),
	      peers(loopback(free_port())), path(dir + "/" + vm + ".toml"),
	      log(dir + "/" + vm + ".log")
	{
		std::ofstream(path)
		    << "[vm]\nid = \"" << vm << "\"\ndomain = \"a\"\n"
		    << "[listen]\ncallers = \"" << callers << "\"\nready = \""
		    << ready << "\"\nmetrics = \"" << metrics
		    << "\"\npeers = \"" << peers << "\"\n[cell]\nstore = \""
		    << store << "\"\nadvice = \"" << advice << "\"\nduties = \""
		    << duties << "\"\nmaintenance = \"800ms\""
		    << "\ngrace = \"6s\"\nkeep_ended = \"" << keep_ended
		    << "\"\n"
		    << more;
	}

	/* Has to be called before start(). */
	void
	set_cores(const std::string &cores) const
	{
		std::ifstream from(path);
		std::ostringstream text;

		text << from.rdbuf();
		std::ofstream(path) << "[vm]\ncores = " << cores << "\n"
				    << text.str().substr(strlen("[vm]\n"));
	}

	~CellDaemon()
	{
		end(SIGKILL);
	}

	void
	start()
	{
		std::string program = std::string(CURRANT_BUILD_DIR) +
		    "/curranttackd/curranttackd";

		pid = fork();
		if (pid == 0) {
			int fd = open(
			    log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

			dup2(fd, STDOUT_FILENO);
			dup2(fd, STDERR_FILENO);
			execl(program.c_str(), program.c_str(), "--config",
			    path.c_str(), nullptr);
			_exit(127);
		}
	}

	/* Sends a signal and waits: exit status, or -1 if killed by the signal. */
	int
	end(int number)
	{
		int status = 0;

		if (pid <= 0)
			return -1;
		kill(pid, number);
		waitpid(pid, &status, 0);
		pid = -1;
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

	void
	signal(int number) const
	{
		/* -1 is every process that may be signalled. */
		if (pid > 0)
			kill(pid, number);
	}

	bool
	is_ready() const
	{
		return http("GET", "http://" + ready + "/curranttack/readiness",
			   "", {}, 500)
			   .status == 200;
	}

	std::string
	log_text() const
	{
		std::ifstream f(log);
		std::ostringstream text;

		text << f.rdbuf();
		return text.str();
	}

	std::string vm;
	std::string callers;
	std::string ready;
	std::string metrics;
	std::string peers;
	std::string path;
	std::string log;
	pid_t pid = -1;
};

#endif
