#include "fakes/fake_server.h"
#include "fakes/vm_list_server.h"

/* A fake of the platform's VM list; see docs/PROTOCOLS.md. */
int main(int argc, const char **argv)
{
	int lag_ms = 0;
	struct poptOption options[] = {{"lag-ms", 0, POPT_ARG_INT, &lag_ms, 0,
					"Delay before a new list is served",
					"MS"},
				       POPT_TABLEEND};
	struct fake_server *fake = fake_server_create(argc, argv, options);
	struct vm_list_server *server;
	int status;

	if (!fake)
		return 2;
	server = vm_list_server_create(fake, MAX(lag_ms, 0));
	status = fake_server_run(fake);
	fake_server_destroy(fake);
	vm_list_server_destroy(server);
	return status;
}
