#include "ports/registration.h"

/* Frees a registration; NULL is allowed. */
void registration_destroy(struct registration *registration)
{
	if (!registration)
		return;
	g_free(registration->id);
	g_free(registration->service);
	g_free(registration->address);
	g_free(registration->failure_domain);
	g_free(registration);
}

/* Returns a deep copy, to be freed by registration_destroy(). */
struct registration *registration_copy(const struct registration *other)
{
	struct registration *copy = g_memdup2(other, sizeof(*other));

	copy->id = g_strdup(other->id);
	copy->service = g_strdup(other->service);
	copy->address = g_strdup(other->address);
	copy->failure_domain = g_strdup(other->failure_domain);
	return copy;
}

static void registration_free(gpointer data)
{
	registration_destroy(data);
}

/* Creates an empty list that owns its registrations. */
GPtrArray *registration_list_create(void)
{
	return g_ptr_array_new_with_free_func(registration_free);
}
