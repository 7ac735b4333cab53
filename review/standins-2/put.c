#include "wire.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * put STORE KEY [VALUE]: writes a key of the project's stand-in of the store, as
 * the operator or an engine does; without a value it is removed.
 */
int main(int argc, char **argv)
{
	static char body[65536], head[256];
	struct wire wire = {.size = 0};
	static struct head answer;
	size_t size;

	if (argc != 3 && argc != 4)
		return 2;
	size = (size_t)snprintf(body, sizeof(body),
				"{\"key\":\"%s\",\"value\":\"", argv[2]);
	for (const char *at = argc == 4 ? argv[3] : "";
	     *at && size < sizeof(body) - 8; at++) {
		if (*at == '"' || *at == '\\')
			body[size++] = '\\';
		body[size++] = *at;
	}
	memcpy(body + size, "\"}", 3);
	wire.fd = wire_connect(argv[1]);
	if (wire.fd < 0)
		return 1;
	snprintf(head, sizeof(head),
		 "POST /fake/%s HTTP/1.1\r\nHost: store\r\n"
		 "Connection: close\r\nContent-Length: %zu\r\n\r\n",
		 argc == 4 ? "put" : "delete", strlen(body));
	if (!wire_send(wire.fd, head, strlen(head)) ||
	    !wire_send(wire.fd, body, strlen(body)) ||
	    !wire_read_head(&wire, &answer))
		return 1;
	close(wire.fd);
	return strstr(answer.start, " 200") ? 0 : 1;
}
