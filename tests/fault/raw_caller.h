#ifndef TESTS_RAW_CALLER_H
#define TESTS_RAW_CALLER_H

/* A caller that tells apart how a request on its connection ended. */

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum class End {
	ANSWERED,
	NOT_SENT, /* refused, or closed before the request was sent */
	CUT,	  /* sent whole, and closed without a whole answer */
	TIMEOUT,
};

class RawCaller
{
      public:
	explicit RawCaller(const std::string &address) : address(address)
	{
	}

	~RawCaller()
	{
		close();
	}
	RawCaller(const RawCaller &) = delete;
	RawCaller &operator=(const RawCaller &) = delete;

	bool
	connect()
	{
		size_t colon = address.find(':');
		struct sockaddr_in sin = {};

		close();
		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)atoi(&address[colon + 1]));
		inet_pton(
		    AF_INET, address.substr(0, colon).c_str(), &sin.sin_addr);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (::connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
			return true;
		close();
		return false;
	}

	void
	close()
	{
		if (fd != -1)
			::close(fd);
		fd = -1;
	}

	bool
	is_open()
	{
		char byte;

		if (fd == -1)
			return false;
		ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
		return n > 0 || (n == -1 && errno == EAGAIN);
	}

	/* Sends on the open connection; false if that has ended. */
	bool
	send(const std::string &method, const std::string &path,
	    const std::string &body = "")
	{
		std::string text = method + " " + path +
		    " HTTP/1.1\r\nHost: cell.example\r\nContent-Length: " +
		    std::to_string(body.size()) + "\r\n" + more_headers +
		    "\r\n" + body;

		return send_text(text);
	}

	bool
	send_text(const std::string &text)
	{
		if (!is_open())
			return false;
		sent_at = std::chrono::steady_clock::now();
		return ::send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
		    (ssize_t)text.size();
	}

	/* Reads the answer to the request that was sent. */
	End
	receive(int timeout_ms = 10000)
	{
		struct pollfd p = {fd, POLLIN, 0};
		char buf[8192];

		status = 0;
		text.clear();
		while (!is_whole()) {
			if (poll(&p, 1, timeout_ms) != 1)
				return End::TIMEOUT;
			ssize_t n = recv(fd, buf, sizeof(buf), 0);
			if (n <= 0) {
				close();
				return End::CUT;
			}
			text.append(buf, (size_t)n);
		}
		status = atoi(&text[sizeof("HTTP/1.1")]);
		if (has_header("Connection: close"))
			close();
		return End::ANSWERED;
	}

	End
	request(const std::string &method, const std::string &path,
	    const std::string &body = "", int timeout_ms = 10000)
	{
		if (!is_open() && !connect())
			return End::NOT_SENT;
		if (!send(method, path, body))
			return End::NOT_SENT;
		return receive(timeout_ms);
	}

	bool
	has_header(const std::string &header) const
	{
		return strcasestr(text.c_str(), ("\r\n" + header).c_str()) !=
		    nullptr;
	}

	/* Since the request was sent. */
	int64_t
	elapsed_ms() const
	{
		return std::chrono::duration_cast<std::chrono::milliseconds>(
		    std::chrono::steady_clock::now() - sent_at)
		    .count();
	}

	std::string more_headers;
	std::string text; /* of the answer */
	int status = 0;

      private:
	bool
	is_whole() const
	{
		size_t end = text.find("\r\n\r\n");
		const char *length =
		    strcasestr(text.c_str(), "\r\nContent-Length:");

		if (end == std::string::npos || length == nullptr)
			return false;
		return text.size() >= end + 4 +
		    (size_t)atoi(length + sizeof("\r\nContent-Length:") - 1);
	}

	std::string address;
	int fd = -1;
	std::chrono::steady_clock::time_point sent_at;
};

#endif
