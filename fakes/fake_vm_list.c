#include "fakes/fake_server.h"
#include "fakes/vm_list_server.h"

/* A stand-in for the platform's VM list; see docs/PROTOCOLS.md. */
int main(int argc, const char **argv)
{
	int lag_ms = 0;
	struct poptOption options[] = {{"lag-ms", 0, POPT_ARG_INT, &lag_ms, 0,
					"A new list is shown so much later",
					"MS"},
				       POPT_TABLEEND};
	struct fake_server *frame = fake_server_create(argc, argv, options);
	struct vm_list_server *server;
	int status;

	if (!frame)
		return 2;
	server = vm_list_server_create(frame, MAX(lag_ms, 0));
	status = fake_server_run(frame);
	fake_server_destroy(frame);
	vm_list_server_destroy(server);
	return status;
}
