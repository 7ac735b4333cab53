#include "fakes/fake_server.h"
#include "fakes/kv_server.h"

/* A stand-in for the key-value service; see docs/PROTOCOLS.md. */
int main(int argc, const char **argv)
{
	struct poptOption options[] = {POPT_TABLEEND};
	struct fake_server *frame = fake_server_create(argc, argv, options);
	struct kv_server *server;
	int status;

	if (!frame)
		return 2;
	server = kv_server_create(frame);
	status = fake_server_run(frame);
	fake_server_destroy(frame);
	kv_server_destroy(server);
	return status;
}
