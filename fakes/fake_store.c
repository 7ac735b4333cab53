#include "fakes/platform_store.h"

/* A fake of the platform's store. */
int main(int argc, const char **argv)
{
	struct poptOption options[] = {POPT_TABLEEND};
	struct fake_server *server = fake_server_create(argc, argv, options);
	struct platform_store *store;
	int status;

	if (!server)
		return 2;
	store = platform_store_create(server);
	status = fake_server_run(server);
	fake_server_destroy(server);
	platform_store_destroy(store);
	return status;
}
