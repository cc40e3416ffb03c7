#include "load.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

constexpr const char *kHost = "cell.example";
/* Longer than a process may take to end after SIGTERM. */
constexpr int64_t kGiveUpUs = 9000000;
constexpr int kConnectMs = 2000;
/* So that the jobs don't fill the store. */
constexpr int64_t kNewJobUs = 100000;
constexpr useconds_t kRetryUs = 5000;
/* Between requests to a daemon that isn't stopping, so as not to use all cores. */
constexpr useconds_t kPauseUs = 1000;
/* Half of the callers say how long they wait. */
constexpr const char *kDeadline = "X-Curranttack-Deadline-Remaining: 4000\r\n";

struct sockaddr_in
address_of(const std::string &text)
{
	struct sockaddr_in sin = {};
	size_t colon = text.find(':');

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)atoi(text.c_str() + colon + 1));
	inet_pton(AF_INET, text.substr(0, colon).c_str(), &sin.sin_addr);
	return sin;
}

bool
wait_for(int fd, short events, int64_t until_us)
{
	struct pollfd p = {fd, events, 0};
	int64_t left_ms = (until_us - load_now_us()) / 1000;

	return poll(&p, 1, left_ms > 0 ? (int)left_ms : 0) == 1;
}

/* Bytes of the body by its header, or -1 if the header isn't complete. */
int64_t
missing_bytes(const std::string &answer)
{
	size_t end = answer.find("\r\n\r\n");
	size_t at = answer.find("Content-Length: ");

	if (end == std::string::npos || at == std::string::npos || at > end)
		return -1;
	return (int64_t)(end + 4) + atoll(answer.c_str() + at + 16) -
	    (int64_t)answer.size();
}

bool
says_close(const std::string &answer)
{
	size_t at = answer.find("Connection: close");

	return at != std::string::npos && at < answer.find("\r\n\r\n");
}

std::string
line_of(const Exchange &e)
{
	std::ostringstream line;

	line << "sent_us=" << e.sent_us << " target=" << e.target
	     << " post=" << e.is_post << " first=" << e.is_first
	     << " status=" << e.status << " began=" << (e.first_us != 0)
	     << " waited_us=" << e.waited_us()
	     << " since_stop_us=" << e.since_stop_us;
	return line.str();
}

} // namespace

int64_t
load_now_us()
{
	return std::chrono::duration_cast<std::chrono::microseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

LoadCaller::LoadCaller(std::deque<LoadTarget> &targets, unsigned number,
    unsigned seed, bool is_loyal)
    : targets(targets), number(number), seed(seed), is_loyal(is_loyal),
      at(number % targets.size()), is_post(number % 3 == 0)
{
}

LoadCaller::~LoadCaller()
{
	disconnect();
}

void
LoadCaller::disconnect()
{
	if (fd >= 0)
		close(fd);
	fd = -1;
}

void
LoadCaller::choose_target(bool was_refused)
{
	if (is_loyal && !was_refused)
		return;
	for (size_t i = 0; i < targets.size(); i++) {
		at = (at + 1) % targets.size();
		if (targets[at].stopped_us == 0)
			return;
	}
}

bool
LoadCaller::connect_to_target()
{
	struct sockaddr_in sin = address_of(targets[at].address);
	int64_t until_us = load_now_us() + kConnectMs * 1000;
	int error = 0;
	socklen_t bytes = sizeof(error);

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 &&
	    errno != EINPROGRESS)
		error = errno;
	else if (!wait_for(fd, POLLOUT, until_us))
		error = ETIMEDOUT;
	else
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
	if (error == 0) {
		is_fresh = true;
		return true;
	}
	disconnect();
	choose_target(true);
	return false;
}

/* GET and POST by turns; a job is submitted again until the next is due. */
std::string
LoadCaller::next_request()
{
	std::string body;
	char id[40];

	is_post = !is_post || job.empty();
	if (is_post && load_now_us() >= next_job_us) {
		snprintf(
		    id, sizeof(id), "%06x%02x%08x", seed, number, ++submitted);
		job = id;
		next_job_us = load_now_us() + kNewJobUs;
	}
	if (is_post)
		body = "{\"spec\":\"20 1000\",\"steps\":[{\"count\":1,"
		       "\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":20}]}";
	return std::string(is_post ? "POST" : "GET") + " /q/" + job +
	    " HTTP/1.1\r\nHost: " + kHost + "\r\n" +
	    (number / 4 % 2 == 0 ? kDeadline : "") +
	    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	    body;
}

bool
LoadCaller::send_whole(const std::string &text) const
{
	return send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
	    (ssize_t)text.size();
}

bool
LoadCaller::read_answer(Exchange &e) const
{
	std::string answer;
	char part[4096];

	while (missing_bytes(answer) != 0) {
		if (!wait_for(fd, POLLIN, e.sent_us + kGiveUpUs)) {
			e.given_up = true;
			e.ended_us = load_now_us();
			return false;
		}
		ssize_t n = recv(fd, part, sizeof(part), 0);
		e.ended_us = load_now_us();
		if (n <= 0)
			return false;
		if (e.first_us == 0)
			e.first_us = e.ended_us;
		answer.append(part, (size_t)n);
	}
	e.answered = true;
	e.status = atoi(answer.c_str() + strlen("HTTP/1.1 "));
	return !says_close(answer);
}

void
LoadCaller::exchange_one()
{
	std::string request = next_request();
	Exchange e;
	bool stays;

	e.target = at;
	e.is_post = is_post;
	e.is_first = is_fresh;
	if (!send_whole(request)) {
		disconnect();
		choose_target(false);
		return;
	}
	is_fresh = false;
	e.sent_us = load_now_us();
	if (targets[at].stopped_us != 0)
		e.since_stop_us = e.sent_us - targets[at].stopped_us;
	stays = read_answer(e);
	if (is_post && e.status == 200 &&
	    (accepted.empty() || accepted.back() != job))
		accepted.push_back(job);
	exchanges.push_back(e);
	if (stays)
		return;
	disconnect();
	choose_target(false);
}

void
LoadCaller::play(const std::atomic<bool> &over)
{
	while (!over) {
		if (targets[at].stopped_us == 0)
			usleep(kPauseUs);
		if (fd < 0 && !connect_to_target())
			usleep(kRetryUs);
		else
			exchange_one();
	}
}

Load::Load(std::deque<LoadTarget> &targets, unsigned count, unsigned seed)
{
	for (unsigned i = 0; i < count; i++)
		callers.emplace_back(targets, i, seed, i % 4 == 0);
	for (LoadCaller &c : callers)
		threads.emplace_back([this, &c] { c.play(over); });
}

Load::~Load()
{
	stop();
}

void
Load::stop()
{
	over = true;
	for (std::thread &t : threads)
		t.join();
	threads.clear();
}

LoadSummary
Load::summarize(int64_t slack_us) const
{
	LoadSummary s;
	std::ostringstream lines;

	for (const LoadCaller &c : callers) {
		for (const Exchange &e : c.exchanges) {
			s.sent++;
			s.answered += e.answered;
			s.given_up += e.given_up;
			if (e.answered && e.waited_us() > s.longest_us)
				s.longest_us = e.waited_us();
			if (!e.is_unanswered())
				continue;
			s.lost += e.waited_us() > slack_us;
			s.within_slack += e.waited_us() <= slack_us;
			lines << "unanswered: " << line_of(e) << "\n";
		}
	}
	s.lines = lines.str();
	return s;
}

std::vector<std::string>
Load::accepted() const
{
	std::vector<std::string> all;

	for (const LoadCaller &c : callers)
		all.insert(all.end(), c.accepted.begin(), c.accepted.end());
	return all;
}

void
Load::write(const std::string &path) const
{
	std::ofstream file(path);

	for (size_t i = 0; i < callers.size(); i++) {
		for (const Exchange &e : callers[i].exchanges)
			file << "caller=" << i << " " << line_of(e) << "\n";
	}
}
