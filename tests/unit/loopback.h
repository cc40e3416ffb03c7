#ifndef TESTS_LOOPBACK_H
#define TESTS_LOOPBACK_H

/* Servers that tests write byte by byte listen here. */

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>

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

#endif
