#include "tests/soak/soak_proxy.h"

#include "tests/soak/soak_connection.h"
#include "tests/soak/soak_listener.h"
#include "tests/soak/soak_socket.h"

#include <stdio.h>
#include <string.h>

struct soak_proxy {
	struct soak_listener *listener;
	char *address;
	char *source_text;
	GSocketAddress *source; /* bound by connections to target */
	GSocketAddress *target;
	struct soak_link link;
	GPtrArray *connections; /* struct soak_connection */
};

/* Parses IP:PORT; returns NULL if the text is invalid. */
static GSocketAddress *address_parse(const char *text)
{
	g_autofree char *host = g_strdup(text);
	char *colon = strrchr(host, ':');
	guint64 port;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16,
						  &port, NULL))
		return NULL;
	*colon = '\0';
	return g_inet_socket_address_new_from_string(host, (guint)port);
}

static void on_ended(void *data, struct soak_connection *connection)
{
	struct soak_proxy *proxy = data;

	g_ptr_array_remove_fast(proxy->connections, connection);
	soak_connection_destroy(connection);
}

static void on_accepted(void *data, GSocket *client)
{
	struct soak_proxy *proxy = data;
	struct soak_connection *connection;

	if (proxy->link.kind == SOAK_LINK_RESET) {
		soak_socket_reset(client);
		g_object_unref(client);
		return;
	}
	connection =
		soak_connection_create(client, proxy->source, proxy->target,
				       &proxy->link, on_ended, proxy);
	if (connection)
		g_ptr_array_add(proxy->connections, connection);
}

/*
 * Each proxy connects from a source address of its own, derived from its port,
 * so that the target can distinguish its clients by their addresses.
 */
static void proxy_set_addresses(struct soak_proxy *proxy, guint16 port)
{
	proxy->address = g_strdup_printf("127.0.0.1:%u", port);
	proxy->source_text =
		g_strdup_printf("127.1.%u.%u", port >> 8, port & 0xff);
	proxy->source =
		g_inet_socket_address_new_from_string(proxy->source_text, 0);
}

/* Listens on a free port of 127.0.0.1; returns NULL and sets error. */
struct soak_proxy *soak_proxy_create(const char *target, struct error *error)
{
	struct soak_proxy *proxy = g_new0(struct soak_proxy, 1);
	g_autoptr(GError) reason = NULL;

	proxy->connections = g_ptr_array_new();
	proxy->target = address_parse(target);
	proxy->listener = soak_listener_create(on_accepted, proxy, &reason);
	if (!proxy->target || !proxy->listener) {
		error_set(error, ERROR_INVALID, "proxy.create", target, "%s",
			  reason ? reason->message : "expected IP:PORT");
		soak_proxy_destroy(proxy);
		return NULL;
	}
	proxy_set_addresses(proxy, soak_listener_port(proxy->listener));
	return proxy;
}

/* Closes all connections and frees the proxy; NULL is allowed. */
void soak_proxy_destroy(struct soak_proxy *proxy)
{
	if (!proxy)
		return;
	soak_listener_destroy(proxy->listener);
	for (guint i = 0; i < proxy->connections->len; i++)
		soak_connection_destroy(proxy->connections->pdata[i]);
	g_ptr_array_unref(proxy->connections);
	g_clear_object(&proxy->source);
	g_clear_object(&proxy->target);
	g_free(proxy->source_text);
	g_free(proxy->address);
	g_free(proxy);
}

/* Returns the listening address as IP:PORT; the proxy owns it. */
const char *soak_proxy_address(const struct soak_proxy *proxy)
{
	return proxy->address;
}

/* Returns the IP address from which the proxy connects to its target. */
const char *soak_proxy_source(const struct soak_proxy *proxy)
{
	return proxy->source_text;
}

/* Sets the target, IP:PORT, of new connections; open ones keep theirs. */
void soak_proxy_set_target(struct soak_proxy *proxy, const char *target)
{
	GSocketAddress *address = address_parse(target);

	if (!address) {
		fprintf(stderr,
			"proxy %s: invalid target %s, expected IP:PORT\n",
			proxy->address, target);
		return;
	}
	g_object_unref(proxy->target);
	proxy->target = address;
}

static void proxy_reset_all(struct soak_proxy *proxy)
{
	while (proxy->connections->len > 0)
		soak_connection_reset(
			g_ptr_array_remove_index_fast(proxy->connections, 0));
}

/* Sets the fault of the link, or SOAK_LINK_NORMAL for none. */
void soak_proxy_set_link(struct soak_proxy *proxy, const struct soak_link *link)
{
	proxy->link = *link;
	if (link->kind == SOAK_LINK_RESET)
		proxy_reset_all(proxy);
	for (guint i = 0; i < proxy->connections->len; i++)
		soak_connection_link_changed(proxy->connections->pdata[i]);
	if (soak_link_holds_forward(link))
		soak_listener_hold(proxy->listener);
	else
		soak_listener_resume(proxy->listener);
}
