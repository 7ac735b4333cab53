#include "fakes/fake_server.h"
#include "fakes/kv_server.h"

/* A fake of the key-value service; see docs/PROTOCOLS.md. */
int main(int argc, const char **argv)
{
	struct poptOption options[] = {POPT_TABLEEND};
	struct fake_server *fake = fake_server_create(argc, argv, options);
	struct kv_server *server;
	int status;

	if (!fake)
		return 2;
	server = kv_server_create(fake);
	status = fake_server_run(fake);
	fake_server_destroy(fake);
	kv_server_destroy(server);
	return status;
}
