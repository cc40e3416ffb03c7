#ifndef TESTS_LOOPBACK_H
#define TESTS_LOOPBACK_H

/* Servers that tests write byte by byte listen here. */

#include <arpa/inet.h>
#include <atomic>
#include <mutex>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/* A blocking listener on a free port of the loopback; sets its IP:PORT. */
inline int
listen_on_loopback(std::string *address)
{
	struct sockaddr_in sin = {};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (struct sockaddr *)&sin, sizeof(sin));
	listen(fd, 8);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	*address = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
	return fd;
}

/*
 * Answers each request with 200 and a body on any number of connections, which can go
 * silent for good: no bytes, no reset. Those made after that work.
 */
class SilenceableServer
{
      public:
	explicit SilenceableServer(const char *body = "{}") : body(body)
	{
		fd = listen_on_loopback(&address);
		url = "http://" + address + "/";
		thread = std::thread([this] { serve(); });
	}

	~SilenceableServer()
	{
		stopped = true;
		thread.join();
		for (const Conn &c : conns)
			close(c.fd);
		close(fd);
	}

	/* All connections that are open, but for the first few. */
	void
	silence(size_t but = 0)
	{
		std::lock_guard<std::mutex> guard(lock);

		for (size_t i = but; i < conns.size(); i++)
			conns[i].silent = true;
	}

	/* Requests for /news wait for them. */
	std::atomic<bool> news{false};
	/* Requests wait until it lets go; one each connection. */
	std::atomic<bool> holds{false};
	std::atomic<int> connections{0};
	/* Those that arrived, on silent connections too. */
	std::atomic<int> requests{0};
	std::string address;
	std::string url;

      private:
	struct Conn {
		int fd;
		bool silent;
		bool waits;
		bool for_news;
		std::string text;
	};

	static bool
	is_whole(const std::string &text)
	{
		size_t head = text.find("\r\n\r\n");
		size_t length = text.find("Content-Length: ");

		if (head == std::string::npos)
			return false;
		if (length == std::string::npos)
			return true;
		return text.size() >=
		    head + 4 + std::stoul(text.substr(length + 16));
	}

	void
	read_some(Conn &c)
	{
		char buf[4096];
		ssize_t n = recv(c.fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (n == 0) {
			close(c.fd);
			c.fd = -1;
		}
		if (n <= 0)
			return;
		c.text.append(buf, (size_t)n);
		if (!is_whole(c.text))
			return;
		c.for_news = c.text.find("/news") != std::string::npos;
		c.text.clear();
		c.waits = true;
		requests++;
	}

	void
	respond(Conn &c)
	{
		const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " +
		    std::to_string(body.size()) + "\r\n\r\n" + body;

		if (!c.waits || c.silent || holds || (c.for_news && !news))
			return;
		c.waits = false;
		send(c.fd, text.data(), text.size(), MSG_NOSIGNAL);
	}

	void
	serve()
	{
		while (!stopped) {
			std::vector<struct pollfd> pfd = {{fd, POLLIN, 0}};

			for (const Conn &c : conns)
				pfd.push_back({c.fd, POLLIN, 0});
			poll(pfd.data(), pfd.size(), 2);
			std::lock_guard<std::mutex> guard(lock);
			for (size_t i = 0; i < conns.size(); i++) {
				if (pfd[i + 1].revents != 0)
					read_some(conns[i]);
				respond(conns[i]);
			}
			if (pfd[0].revents == 0)
				continue;
			conns.push_back({accept(fd, nullptr, nullptr), false,
			    false, false, ""});
			connections++;
		}
	}

	const std::string body;
	int fd = -1;
	std::atomic<bool> stopped{false};
	std::mutex lock;
	std::vector<Conn> conns;
	std::thread thread;
};

#endif
