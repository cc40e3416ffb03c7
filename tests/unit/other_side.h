#ifndef TESTS_OTHER_SIDE_H
#define TESTS_OTHER_SIDE_H

/* The other side of a link between daemons, byte by byte. */

#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "common/clock.h"
#include "protocol/frame.h"
#include "transport/address.h"
}

inline std::string
packed(const Currant__Frame &frame)
{
	size_t n;
	uint8_t *data = fr_pack(&frame, &n);
	std::string bytes((const char *)data, n);

	free(data);
	return bytes;
}

class OtherSide
{
      public:
	explicit OtherSide(int fd) : fd(fd)
	{
	}

	~OtherSide()
	{
		close(fd);
	}

	void
	send(const std::string &bytes)
	{
		::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	}

	void
	send_heartbeat()
	{
		send(packed(CURRANT__FRAME__INIT));
	}

	void
	send_hello(bool heartbeats)
	{
		Currant__Hello hello = CURRANT__HELLO__INIT;
		Currant__Frame frame = CURRANT__FRAME__INIT;

		hello.version = FR_VERSION;
		hello.vm = hello.domain = hello.token = (char *)"other";
		hello.has_heartbeats = heartbeats;
		hello.heartbeats = heartbeats;
		frame.hello = &hello;
		send(packed(frame));
	}

	/* Reads for a while or until the link is closed. */
	void
	read_for(int64_t us)
	{
		int64_t end = clk_now_us() + us;

		while (!closed && clk_now_us() < end)
			read_some(end - clk_now_us());
	}

	int fd;
	bool closed = false;
	int hellos = 0;
	int heartbeats = 0;
	int others = 0;

      private:
	void
	read_some(int64_t us)
	{
		static char buf[1 << 20];
		struct pollfd p = {fd, POLLIN, 0};
		ssize_t n;

		if (poll(&p, 1, (int)(us / CLK_US_PER_MS) + 1) <= 0)
			return;
		n = recv(fd, buf, sizeof(buf), 0);
		closed = n <= 0;
		if (n > 0)
			in.append(buf, (size_t)n);
		parse();
	}

	void
	parse()
	{
		Currant__Frame *frame;
		size_t used;

		while (fr_unpack((const uint8_t *)in.data(), in.size(), &used,
			   &frame) == FR_OK) {
			if (frame->hello != nullptr)
				hellos++;
			else if (used == FR_HEADER_BYTES)
				heartbeats++;
			else
				others++;
			currant__frame__free_unpacked(frame, nullptr);
			in.erase(0, used);
		}
	}

	std::string in;
};

/* A blocking connection to a net that listens there. */
inline int
connect_to(const std::string &address)
{
	struct sockaddr_in sin = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ad_parse(address.c_str(), &sin);
	connect(fd, (struct sockaddr *)&sin, sizeof(sin));
	return fd;
}

#endif
