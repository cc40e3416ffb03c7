#include "cancel_caller.h"

#include <algorithm>
#include <unistd.h>

#include "load.h"

namespace
{

constexpr const char *kHost = "Host: cell.example";
constexpr const char *kDeadline = "X-Curranttack-Deadline-Remaining: 1500";
constexpr long kWaitMs = 1500;
constexpr useconds_t kPauseUs = 10000;
constexpr int kMaxTries = 8;
constexpr int kRetryMs = 400;
/* For the last cancellations, once all faults are over. */
constexpr int64_t kGiveUpMs = 25000;

int64_t
now_ms()
{
	return load_now_us() / 1000;
}

} // namespace

void
CallerTargets::remove(const std::string &address)
{
	std::lock_guard<std::mutex> guard(lock);

	addresses.erase(
	    std::remove(addresses.begin(), addresses.end(), address),
	    addresses.end());
}

long
CancelCaller::call(CancelledJob &j, const std::string &method)
{
	std::string daemon = targets.choose(random());
	std::unique_ptr<KeptClient> &client = clients[daemon];
	int64_t sent_ms = now_ms();
	Response r;

	if (client == nullptr)
		client = std::make_unique<KeptClient>();
	r = client->request(method, "http://" + daemon + "/q/" + j.id,
	    method == "POST" ? j.body : "", {kHost, kDeadline}, kWaitMs);
	j.calls += " " + std::to_string(sent_ms - j.first_ms) + "-" +
	    std::to_string(now_ms() - j.first_ms) + ":" + method + "@" +
	    daemon.substr(daemon.find(':') + 1) + "=" +
	    std::to_string(r.status);
	return r.status;
}

void
CancelCaller::hand_in(CancelledJob &j)
{
	long status = call(j, "POST");

	j.tries++;
	j.next_try_ms = now_ms() + kRetryMs;
	if (status < 200 || status >= 300 || j.accepted_ms != 0)
		return;
	j.accepted_ms = now_ms();
	if (j.acked_ms == 0)
		j.cancel_at_ms = j.accepted_ms + 100 +
		    (below(2) == 0 ? below(1500) : below(9900));
	if (below(4) == 0)
		j.cancel_twice_at_ms = j.cancel_at_ms + below(1000);
	if (below(4) == 0)
		j.again_at_ms = j.cancel_at_ms + below(6000) - 1000;
}

void
CancelCaller::cancel(CancelledJob &j)
{
	long status = call(j, "DELETE");

	if ((status < 200 || status >= 300) && status != 410)
		return;
	if (j.acked_ms == 0)
		j.acked_ms = now_ms();
}

void
CancelCaller::submit_new()
{
	CancelledJob j;
	char id[32];
	bool lasts = below(3) != 0;
	int work_ms = lasts ? 600000 : 5000 + below(20000);
	int cpu = lasts ? 400 : 500;

	snprintf(
	    id, sizeof(id), "c%07x%02x%06zx", seed, number, jobs.size() + 1);
	j.id = id;
	j.first_ms = now_ms();
	j.body = "{\"spec\":\"" + std::to_string(work_ms) + " " +
	    std::to_string(cpu) +
	    " \",\"steps\":[{\"count\":" + std::to_string(1 + below(6)) +
	    ",\"cpu\":" + std::to_string(cpu) +
	    ",\"mem_mb\":10,\"estimate_ms\":" + std::to_string(work_ms) +
	    (lasts ? ",\"long_running\":true}]}" : "}]}");
	/* What was never accepted is cancelled as well. */
	j.cancel_at_ms = j.first_ms + 4000 + below(8000);
	hand_in(j);
	jobs.push_back(j);
}

bool
CancelCaller::serve(CancelledJob &j)
{
	int64_t at_ms = now_ms();

	if (j.accepted_ms == 0 && j.acked_ms == 0 && j.tries < kMaxTries &&
	    at_ms >= j.next_try_ms)
		hand_in(j);
	else if (j.again_at_ms != 0 && at_ms >= j.again_at_ms) {
		j.again_at_ms = 0;
		call(j, "POST");
	} else if (j.cancel_twice_at_ms != 0 && at_ms >= j.cancel_twice_at_ms) {
		j.cancel_twice_at_ms = 0;
		cancel(j);
	} else if (j.acked_ms == 0 && at_ms >= j.cancel_at_ms)
		cancel(j);
	return j.acked_ms == 0 || j.again_at_ms != 0 ||
	    j.cancel_twice_at_ms != 0;
}

void
CancelCaller::cancel_all_at(int64_t at_ms)
{
	for (CancelledJob &j : jobs) {
		j.cancel_at_ms = std::min(j.cancel_at_ms, at_ms);
		j.cancel_twice_at_ms = std::min(j.cancel_twice_at_ms, at_ms);
		j.again_at_ms = std::min(j.again_at_ms, at_ms);
	}
}

void
CancelCaller::play(const std::atomic<bool> &over, int64_t give_up_ms)
{
	int64_t next_new_ms = now_ms() + below(pause_ms);
	int64_t until_ms = 0;
	bool is_busy = true;

	while (!over || is_busy) {
		is_busy = false;
		for (CancelledJob &j : jobs)
			is_busy = serve(j) || is_busy;
		if (!over && now_ms() >= next_new_ms) {
			submit_new();
			is_busy = true;
			next_new_ms = now_ms() + below(2 * pause_ms);
		}
		if (over && until_ms == 0) {
			until_ms = now_ms() + give_up_ms;
			cancel_all_at(now_ms());
		}
		if (until_ms != 0 && now_ms() > until_ms)
			return;
		usleep(kPauseUs);
	}
}

CancelCallers::CancelCallers(
    CallerTargets &targets, int seed, int count, int pause_ms)
{
	for (int n = 0; n < count; n++)
		callers.push_back(
		    std::make_unique<CancelCaller>(targets, seed, n, pause_ms));
	for (auto &c : callers)
		threads.emplace_back([&] { c->play(over, kGiveUpMs); });
}

void
CancelCallers::stop()
{
	over = true;
	for (std::thread &t : threads)
		t.join();
	threads.clear();
}

std::vector<CancelledJob>
CancelCallers::jobs() const
{
	std::vector<CancelledJob> all;

	for (const auto &c : callers)
		all.insert(all.end(), c->jobs.begin(), c->jobs.end());
	return all;
}
