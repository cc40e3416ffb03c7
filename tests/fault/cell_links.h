#ifndef TESTS_CELL_LINKS_H
#define TESTS_CELL_LINKS_H

/*
 * Links that a cell's connections pass: those of daemons with each other, to the
 * store, to workers and to the advice service. Open connections can fall silent
 * for good, while new ones work.
 */

#include <memory>
#include <string>
#include <vector>

#include "cell_daemon.h"

class CellLinks
{
      public:
	enum Ways { kOut = 1, kBack = 2, kBoth = 3 };

	/* @control is that of the platform's stand-in. */
	CellLinks(const std::string &control, const std::string &dir,
	    uint32_t workers)
	    : control(control), log(dir + "/links.log"), to_workers(workers),
	      worker_links("tests/standins/standin-relay",
		  std::vector<std::string>{std::to_string(workers)}, log)
	{
		for (uint32_t w = 0; w < workers; w++)
			set_target(worker_links, w,
			    add_via("worker=" + std::to_string(w),
				worker_links.addresses[w]));
	}

	/* The next daemon's, before it is made. */
	void
	add_daemon(const std::string &store, const std::string &advice)
	{
		daemon_links.push_back(
		    std::make_unique<Process>("tests/standins/standin-relay",
			std::vector<std::string>{std::to_string(kKinds)}, log));
		set_target(*daemon_links.back(), kStore, store);
		set_target(*daemon_links.back(), kAdvice, advice);
	}

	std::string
	store(size_t daemon) const
	{
		return daemon_links[daemon]->addresses[kStore];
	}

	std::string
	advice(size_t daemon) const
	{
		return daemon_links[daemon]->addresses[kAdvice];
	}

	/* Before it starts. */
	void
	lead_peers_to(const CellDaemon &d, size_t daemon)
	{
		set_target(*daemon_links[daemon], kPeers, d.peers);
		add_via(
		    "from=" + d.peers, daemon_links[daemon]->addresses[kPeers]);
	}

	/* Those with other daemons, whoever opened them. */
	void
	sever_peers(size_t daemon, int ways)
	{
		std::string query = "/_sever?ways=" + std::to_string(ways);

		for (size_t i = 0; i < daemon_links.size(); i++)
			ask(*daemon_links[i],
			    query + "&link=" + std::to_string(kPeers) +
				(i != daemon ? from(daemon) : ""));
	}

	void
	sever_store(size_t daemon, int ways)
	{
		sever_one(daemon, kStore, ways);
	}

	void
	sever_advice(size_t daemon, int ways)
	{
		sever_one(daemon, kAdvice, ways);
	}

	/* All daemons' connections to workers, or so many of a hundred. */
	void
	sever_workers(int ways, int percent = 100)
	{
		ask(worker_links,
		    "/_sever?ways=" + std::to_string(ways) +
			"&percent=" + std::to_string(percent));
	}

	/* Connections that one daemon opened to another one, and that work. */
	int64_t
	working_peers(size_t from_daemon, size_t to_daemon)
	{
		return ask(*daemon_links[to_daemon],
		    "/_working?link=" + std::to_string(kPeers) +
			from(from_daemon));
	}

	int64_t
	working_store(size_t daemon)
	{
		return ask(*daemon_links[daemon],
		    "/_working?link=" + std::to_string(kStore));
	}

	int64_t
	working_worker(uint32_t worker)
	{
		return ask(
		    worker_links, "/_working?link=" + std::to_string(worker));
	}

	uint32_t
	worker_count() const
	{
		return to_workers;
	}

      private:
	enum Kind { kStore, kAdvice, kPeers, kKinds };

	static int64_t
	ask(const Process &links, const std::string &query)
	{
		return http("POST", "http://" + links.addresses.back() + query)
		    .number("working");
	}

	static void
	set_target(
	    const Process &links, uint32_t link, const std::string &target)
	{
		ask(links,
		    "/_target?link=" + std::to_string(link) +
			"&address=" + target);
	}

	std::string
	add_via(const std::string &from, const std::string &to) const
	{
		return http("POST", control + "/_via?" + from + "&to=" + to)
		    .body;
	}

	/* A daemon's hello names its VM. */
	static std::string
	from(size_t daemon)
	{
		return "&from=vm-" + std::to_string(daemon);
	}

	void
	sever_one(size_t daemon, Kind kind, int ways)
	{
		ask(*daemon_links[daemon],
		    "/_sever?ways=" + std::to_string(ways) +
			"&link=" + std::to_string(kind));
	}

	std::string control;
	std::string log;
	uint32_t to_workers;
	Process worker_links;
	std::vector<std::unique_ptr<Process>> daemon_links;
};

#endif
